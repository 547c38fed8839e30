package org.tanagerbank.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.http.HttpErrors;
import org.tanagerbank.http.HttpReply;
import org.tanagerbank.http.Json;

/** The orders that an engine took, with or without a check of the fencing number. Thread-safe. */
final class OrderBook {
  private static final int CONFLICT = 409;

  private final boolean checkFencing;
  private final List<ObjectNode> accepted = new ArrayList<>();
  private long highest;

  OrderBook(boolean checkFencing) {
    this.checkFencing = checkFencing;
  }

  /** Takes an order, or refuses it when its fencing number is below the highest seen. */
  synchronized HttpReply take(ObjectNode order) {
    if (!order.path("fencing").isIntegralNumber() || !order.path("order").isTextual()) {
      throw TanagerException.notRun(
          ErrorCode.BAD_REQUEST, "an order has the fields \"order\" and \"fencing\"");
    }
    long fencing = order.get("fencing").asLong();
    if (checkFencing && fencing < highest) {
      return Standin.error(
          CONFLICT, "FENCING_OUTDATED", "the highest fencing number is " + highest, 0);
    }
    highest = Math.max(highest, fencing);
    accepted.add(order);
    return HttpErrors.json(200, Json.object().put("accepted", true).put("fencing", fencing));
  }

  /** Returns the orders taken, in the order in which they came. */
  synchronized ObjectNode json() {
    ObjectNode body = Json.object().put("highest", highest);
    ArrayNode rows = body.putArray("orders");
    accepted.forEach(rows::add);
    return body;
  }
}
