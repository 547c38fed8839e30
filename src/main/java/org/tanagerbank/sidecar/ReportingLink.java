package org.tanagerbank.sidecar;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.tanagerbank.backing.InstanceList;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.link.Link;
import org.tanagerbank.link.LinkClient;
import org.tanagerbank.link.LinkHandler;
import org.tanagerbank.machine.InstanceInfo;
import org.tanagerbank.machine.InstanceKind;
import org.tanagerbank.machine.InstanceState;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.routing.Rendezvous;

/**
 * The link to the entry that this sidecar reports to, which is always open.
 *
 * <p>The entry is chosen by rendezvous over the live entries of the zone, or of the region when the
 * zone has none. An entry that cannot be reached is passed over for some time. Guarded by its own
 * monitor; thread-safe.
 */
final class ReportingLink {
  private static final long MAX_SILENCE_MILLIS = 2_000;
  private static final long UNREACHABLE_MILLIS = 5_000;

  private final SidecarSettings settings;
  private final InstanceList instances;
  private final LinkClient client;
  private final LinkHandler frames;
  private final AdmissionGate gate;
  private final LoadSpread spread;
  private final LongSupplier clock;
  private final Map<String, Long> unreachableUntil = new HashMap<>();
  private ImmutableList<InstanceInfo> entries = ImmutableList.of();
  private String entryId = "";
  private Link link;
  private boolean opening;
  private int reportedInFlight;
  private boolean reportedAccepting;
  private long reportedAt;

  ReportingLink(
      SidecarSettings settings,
      InstanceList instances,
      LinkClient client,
      LinkHandler frames,
      AdmissionGate gate,
      LoadSpread spread,
      LongSupplier clock) {
    this.settings = settings;
    this.instances = instances;
    this.client = client;
    this.frames = frames;
    this.gate = gate;
    this.spread = spread;
    this.clock = clock;
  }

  /** Reads the instance list; the last one is kept when it cannot be read. Blocks. */
  void refresh() {
    ImmutableList<InstanceInfo> read;
    try {
      read = instances.instances();
    } catch (TanagerException e) {
      return;
    }
    ImmutableList<InstanceInfo> live =
        read.stream()
            .filter(i -> i.kind() == InstanceKind.ENTRY && i.state() == InstanceState.LIVE)
            .collect(ImmutableList.toImmutableList());
    synchronized (this) {
      entries = live;
    }
  }

  /** Opens or replaces the link where needed, and sends a report when one is due. */
  synchronized void tick() {
    long now = clock.getAsLong();
    unreachableUntil.values().removeIf(until -> until <= now);
    Optional<InstanceInfo> chosen = choose();
    if (chosen.isPresent() && !opening && (link == null || !chosen.get().id().equals(entryId))) {
      open(chosen.get());
    }
    if (link != null) {
      report(now);
    }
  }

  /** Sends a frame to the reporting entry, if there is one. */
  synchronized void send(Frame frame) {
    if (link != null) {
      link.send(frame);
    }
  }

  /** Returns the id of the entry that this sidecar reports to; empty when there is none. */
  synchronized String entryId() {
    return link == null ? "" : entryId;
  }

  private Optional<InstanceInfo> choose() {
    ImmutableList<String> ofZone = ids(i -> i.zone().equals(settings.zone()));
    ImmutableList<String> candidates =
        ofZone.isEmpty() ? ids(i -> i.zone().region().equals(settings.zone().region())) : ofZone;
    return Rendezvous.reportingEntry(settings.id(), candidates)
        .flatMap(id -> entries.stream().filter(i -> i.id().equals(id)).findFirst());
  }

  private ImmutableList<String> ids(Predicate<InstanceInfo> where) {
    return entries.stream()
        .filter(where)
        .map(InstanceInfo::id)
        .filter(id -> !unreachableUntil.containsKey(id))
        .collect(ImmutableList.toImmutableList());
  }

  // The handler takes both outcomes; nothing waits for its end.
  @SuppressWarnings("FutureReturnValueIgnored")
  private void open(InstanceInfo entry) {
    opening = true;
    InetSocketAddress address = entry.address();
    CompletableFuture<Link> connecting = client.open(address, new Handler());
    connecting.whenComplete((opened, failure) -> connected(entry, opened, failure));
  }

  private synchronized void connected(InstanceInfo entry, Link opened, Throwable failure) {
    opening = false;
    if (failure != null) {
      unreachableUntil.put(entry.id(), clock.getAsLong() + UNREACHABLE_MILLIS);
      return;
    }
    Link previous = link;
    link = opened;
    entryId = entry.id();
    reportedAt = 0;
    // An entry that stops answering is noticed, and another one is chosen.
    opened.setHeartbeat(true);
    if (previous != null) {
      previous.close();
    }
    EventLog.emit(LogEvent.REPORTING_ENTRY_CHANGED, "entry", entryId);
    report(clock.getAsLong());
  }

  private synchronized void lost(Link closed) {
    if (link == closed) {
      link = null;
      unreachableUntil.put(entryId, clock.getAsLong() + UNREACHABLE_MILLIS);
    }
  }

  private void report(long now) {
    int inFlight = gate.inFlight();
    boolean accepting = gate.isAccepting();
    boolean changed = inFlight != reportedInFlight || accepting != reportedAccepting;
    if (!changed && now - reportedAt < MAX_SILENCE_MILLIS) {
      return;
    }
    reportedInFlight = inFlight;
    reportedAccepting = accepting;
    reportedAt = now;
    link.send(spread.report(inFlight));
  }

  /** Passes everything on, and notices the loss of the link. */
  private final class Handler implements LinkHandler {
    @Override
    public void opened(Link opened) {
      frames.opened(opened);
    }

    @Override
    public void received(Link from, Frame frame) {
      frames.received(from, frame);
    }

    @Override
    public void closed(Link closed, String reason) {
      frames.closed(closed, reason);
      lost(closed);
    }

    @Override
    public void writable(Link writable) {
      frames.writable(writable);
    }
  }
}
