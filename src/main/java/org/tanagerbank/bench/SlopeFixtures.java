package org.tanagerbank.bench;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.tanagerbank.http.Json;
import org.tanagerbank.instance.InstanceInfo;
import org.tanagerbank.instance.InstanceKind;
import org.tanagerbank.instance.InstanceState;
import org.tanagerbank.instance.Upstream;
import org.tanagerbank.instance.Zone;
import org.tanagerbank.platformclient.InstanceRowCodec;

/** Creates instance lists and declarations of a given size for the measurements. Stateless. */
final class SlopeFixtures {
  static final String SERVICE = "drafting-models";
  static final long INCARNATION = 1_764_795_000_000L;
  static final Zone ZONE = new Zone("solothurn", "ch-mittelland");

  private SlopeFixtures() {}

  /**
   * Returns an instance id that is as long as the ids that a platform assigns, which contain a
   * random part.
   */
  static String id(String kind, long number) {
    return String.format("%s-%s-%05d", kind, ZONE.name(), number);
  }

  static InstanceInfo sidecar(int number) {
    InetSocketAddress link = address(number, 7_100);
    return new InstanceInfo(
        id("worker", number),
        InstanceKind.SIDECAR,
        SERVICE,
        ZONE,
        link,
        address(number, 7_200),
        INCARNATION + number,
        InstanceState.LIVE);
  }

  private static InetSocketAddress address(int number, int port) {
    return new InetSocketAddress("10.20." + number / 250 % 250 + "." + number % 250, port);
  }

  /** Returns the encoded response body of an instance list with the given number of sidecars. */
  static byte[] list(long size) {
    ObjectNode body = Json.object();
    ArrayNode rows = body.putArray("instances");
    IntStream.range(0, (int) size).forEach(i -> rows.add(InstanceRowCodec.toJson(sidecar(i))));
    return Json.bytes(body);
  }

  /**
   * Parses an instance list. As in operation, no two of the returned rows share a string, which
   * matters for the measured heap.
   */
  static List<InstanceInfo> parse(byte[] list) {
    List<InstanceInfo> rows = new ArrayList<>();
    Json.parseObject(list)
        .path("instances")
        .forEach(row -> rows.add(InstanceRowCodec.fromJson(row)));
    return rows;
  }

  static List<Upstream> upstreams(long size) {
    return IntStream.range(0, (int) size)
        .mapToObj(SlopeFixtures::sidecar)
        .map(i -> new Upstream(i.id(), i.incarnation(), SERVICE, ZONE, i.address(), 1))
        .toList();
  }

  /** Returns a declaration of one engine service with shares for the given number of workspaces. */
  static String declaration(long workspaces, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    StringBuilder text = new StringBuilder(1_024);
    text.append("services:\n  ").append(SERVICE).append(":\n");
    text.append("    kind: engine\n    models: [draft-1]\n    workspaces:\n      default: 1\n");
    for (int i = 0; i < workspaces; i++) {
      text.append(
          String.format(
              "      office-%05d%c: %d%n",
              i, (char) ('a' + random.nextInt(26)), 1 + random.nextInt(8)));
    }
    return text.toString();
  }
}
