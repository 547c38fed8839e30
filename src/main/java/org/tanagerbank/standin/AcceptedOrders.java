package org.tanagerbank.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.tanagerbank.http.HttpErrors;
import org.tanagerbank.http.HttpResponseMessage;
import org.tanagerbank.http.Json;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;

/**
 * The orders that an engine has accepted.
 *
 * <p>If fencing is checked, an order is accepted only if its fencing number is not below the
 * highest number accepted so far. Thread-safe.
 */
final class AcceptedOrders {
  private static final int CONFLICT = 409;

  private final boolean checkFencing;
  private final List<ObjectNode> accepted = new ArrayList<>();
  private long highestFencing;

  AcceptedOrders(boolean checkFencing) {
    this.checkFencing = checkFencing;
  }

  /**
   * Accepts an order, or rejects it with status 409 if fencing is checked and its fencing number is
   * below the highest accepted one.
   */
  synchronized HttpResponseMessage submitOrder(ObjectNode order) {
    if (!order.path("fencing").isIntegralNumber() || !order.path("order").isTextual()) {
      throw TanagerException.notRun(
          ErrorCode.BAD_REQUEST, "an order must have a text \"order\" and an integer \"fencing\"");
    }
    long fencing = order.get("fencing").asLong();
    if (checkFencing && fencing < highestFencing) {
      return Standin.error(
          CONFLICT, "FENCING_OUTDATED", "the highest fencing number is " + highestFencing, 0);
    }
    highestFencing = Math.max(highestFencing, fencing);
    accepted.add(order);
    return HttpErrors.json(200, Json.object().put("accepted", true).put("fencing", fencing));
  }

  /** Returns the highest fencing number and the accepted orders, in the sequence of acceptance. */
  synchronized ObjectNode toJson() {
    ObjectNode body = Json.object().put("highest", highestFencing);
    ArrayNode rows = body.putArray("orders");
    accepted.forEach(rows::add);
    return body;
  }
}
