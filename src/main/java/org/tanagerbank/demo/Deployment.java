package org.tanagerbank.demo;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.tanagerbank.machine.Zone;

/**
 * The shape of a deployment that the demo runs: its zones, services and instance counts.
 *
 * <p>The distances between zones are not imitated on loopback. Immutable and thread-safe.
 */
public enum Deployment {
  /** Three zones; asbestos registers; even load weighs more. */
  REGISTER(
      "mazowsze",
      ImmutableList.of("hala-a", "hala-b", "hala-c"),
      "model-pool",
      6,
      "draft-survey",
      "register-app",
      3),
  /** Four zones; an arbitration desk; cache reuse weighs more. */
  CONSORTIUM(
      "ch-mittelland",
      ImmutableList.of("bern-a", "bern-b", "fribourg", "solothurn"),
      "drafting-models",
      13,
      "draft-settlement",
      "case-portal",
      4);

  static final int WORKSPACES = 10;

  private final ImmutableList<Zone> zones;
  private final String engineService;
  private final int engines;
  private final String model;
  private final String plainService;
  private final int plainInstances;

  Deployment(
      String region,
      ImmutableList<String> zones,
      String engineService,
      int engines,
      String model,
      String plainService,
      int plainInstances) {
    this.zones =
        zones.stream().map(z -> new Zone(z, region)).collect(ImmutableList.toImmutableList());
    this.engineService = engineService;
    this.engines = engines;
    this.model = model;
    this.plainService = plainService;
    this.plainInstances = plainInstances;
  }

  ImmutableList<Zone> zones() {
    return zones;
  }

  String engineService() {
    return engineService;
  }

  int engines() {
    return engines;
  }

  String model() {
    return model;
  }

  String plainService() {
    return plainService;
  }

  int plainInstances() {
    return plainInstances;
  }

  /** Returns the declaration that the demo publishes. */
  String declaration() {
    String path = "/demo/" + label() + ".yaml";
    try (InputStream in = Deployment.class.getResourceAsStream(path)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the workspaces; the first two have several times the chats of each other one. */
  ImmutableList<String> workspaces() {
    ImmutableList.Builder<String> names = ImmutableList.builder();
    for (int i = 0; i < WORKSPACES; i++) {
      names.add("workspace-" + i);
      names.add("workspace-" + i % 2);
    }
    return names.build();
  }

  /** Returns the name as it stands on the command line. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
