package org.tanagerbank.platformclient;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Ascii;
import org.tanagerbank.http.Json;
import org.tanagerbank.instance.InstanceInfo;
import org.tanagerbank.instance.InstanceKind;
import org.tanagerbank.instance.InstanceState;
import org.tanagerbank.instance.Zone;

/** Converts rows of the instance list between JSON and {@link InstanceInfo}. Thread-safe. */
public final class InstanceRowCodec {
  private InstanceRowCodec() {}

  /**
   * Returns the instance that a row describes. The defaults of missing fields are: {@code
   * httpAddress} the value of {@code address}, {@code incarnation} 0, {@code state} live, and
   * {@code service} empty.
   *
   * @throws IllegalArgumentException if a required field is missing or a value is not valid
   */
  public static InstanceInfo fromJson(JsonNode row) {
    String address = row.required("address").asText();
    return new InstanceInfo(
        row.required("id").asText(),
        InstanceKind.valueOf(Ascii.toUpperCase(row.required("kind").asText())),
        row.path("service").asText(""),
        new Zone(row.required("zone").asText(), row.required("region").asText()),
        SocketAddresses.parse(address),
        SocketAddresses.parse(row.path("httpAddress").asText(address)),
        row.path("incarnation").asLong(0),
        InstanceState.valueOf(Ascii.toUpperCase(row.path("state").asText("live"))));
  }

  /** Returns the row that describes an instance. */
  public static ObjectNode toJson(InstanceInfo info) {
    return Json.object()
        .put("id", info.id())
        .put("kind", Ascii.toLowerCase(info.kind().name()))
        .put("service", info.service())
        .put("zone", info.zone().name())
        .put("region", info.zone().region())
        .put("address", SocketAddresses.format(info.address()))
        .put("httpAddress", SocketAddresses.format(info.httpAddress()))
        .put("incarnation", info.incarnation())
        .put("state", Ascii.toLowerCase(info.state().name()));
  }
}
