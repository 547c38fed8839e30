package org.tanagerbank.demo;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.tanagerbank.instance.Zone;

/**
 * A deployment that the demo runs: its zones, services and instance counts.
 *
 * <p>The demo does not simulate the latency between zones. Immutable and thread-safe.
 */
public enum Deployment {
  /** A deployment for asbestos registers in three zones that weights even load over cache reuse. */
  REGISTER(
      "mazowsze",
      ImmutableList.of("hala-a", "hala-b", "hala-c"),
      "model-pool",
      6,
      "draft-survey",
      "register-app",
      3),
  /** A deployment for an arbitration desk in four zones that weights cache reuse over even load. */
  CONSORTIUM(
      "ch-mittelland",
      ImmutableList.of("bern-a", "bern-b", "fribourg", "solothurn"),
      "drafting-models",
      13,
      "draft-settlement",
      "case-portal",
      4);

  static final int WORKSPACE_COUNT = 10;

  private final ImmutableList<Zone> zones;
  private final String engineService;
  private final int engineCount;
  private final String model;
  private final String plainService;
  private final int plainInstanceCount;

  Deployment(
      String region,
      ImmutableList<String> zones,
      String engineService,
      int engineCount,
      String model,
      String plainService,
      int plainInstanceCount) {
    this.zones =
        zones.stream().map(z -> new Zone(z, region)).collect(ImmutableList.toImmutableList());
    this.engineService = engineService;
    this.engineCount = engineCount;
    this.model = model;
    this.plainService = plainService;
    this.plainInstanceCount = plainInstanceCount;
  }

  ImmutableList<Zone> zones() {
    return zones;
  }

  String engineService() {
    return engineService;
  }

  int engineCount() {
    return engineCount;
  }

  String model() {
    return model;
  }

  String plainService() {
    return plainService;
  }

  int plainInstanceCount() {
    return plainInstanceCount;
  }

  /** Returns the text of the declaration that the demo publishes. */
  String declaration() {
    String path = "/demo/" + label() + ".yaml";
    try (InputStream in = Deployment.class.getResourceAsStream(path)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Returns the workspaces of the chats.
   *
   * <p>The first two workspaces occur several times as often as each other one, and so get several
   * times as many chats.
   */
  ImmutableList<String> workspaces() {
    ImmutableList.Builder<String> names = ImmutableList.builder();
    for (int i = 0; i < WORKSPACE_COUNT; i++) {
      names.add("workspace-" + i);
      names.add("workspace-" + i % 2);
    }
    return names.build();
  }

  /** Returns the name as used on the command line. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
