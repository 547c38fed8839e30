package org.tanagerbank.sidecar;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.instance.InstanceInfo;
import org.tanagerbank.instance.InstanceKind;
import org.tanagerbank.instance.InstanceState;
import org.tanagerbank.link.Link;
import org.tanagerbank.link.LinkClient;
import org.tanagerbank.link.LinkHandler;
import org.tanagerbank.platformclient.InstanceList;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.routing.Rendezvous;

/**
 * Maintains a link to one entry, the reporting entry, and reports the load on it.
 *
 * <p>The entry is chosen by rendezvous hashing among the live entries of the zone, or of the region
 * if the zone has none that can be reached. An entry whose link could not be opened or was lost is
 * skipped for {@link #UNREACHABLE_MILLIS}. Guarded by its own monitor; thread-safe.
 */
final class ReportingLink {
  /** The longest time between two reports while the load does not change. */
  private static final long MAX_REPORT_INTERVAL_MILLIS = 2_000;

  /** How long an entry is skipped after its link could not be opened or was lost. */
  private static final long UNREACHABLE_MILLIS = 5_000;

  private final SidecarSettings settings;
  private final InstanceList instances;
  private final LinkClient client;
  private final LinkHandler frameHandler;
  private final AdmissionController admission;
  private final LoadBroadcaster loadBroadcaster;
  private final LongSupplier clock;
  private final Map<String, Long> unreachableUntilMillis = new HashMap<>();
  private ImmutableList<InstanceInfo> entries = ImmutableList.of();
  private String entryId = "";
  private Link link;
  private boolean opening;
  private int reportedInFlight;
  private boolean reportedAccepting;
  private long reportedAtMillis;

  ReportingLink(
      SidecarSettings settings,
      InstanceList instances,
      LinkClient client,
      LinkHandler frameHandler,
      AdmissionController admission,
      LoadBroadcaster loadBroadcaster,
      LongSupplier clock) {
    this.settings = settings;
    this.instances = instances;
    this.client = client;
    this.frameHandler = frameHandler;
    this.admission = admission;
    this.loadBroadcaster = loadBroadcaster;
    this.clock = clock;
  }

  /**
   * Reads the live entries from the platform's instance list. The previous entries remain in use if
   * the list cannot be read. Blocks.
   */
  void refreshEntries() {
    ImmutableList<InstanceInfo> listed;
    try {
      listed = instances.instances();
    } catch (TanagerException e) {
      return;
    }
    ImmutableList<InstanceInfo> live =
        listed.stream()
            .filter(i -> i.kind() == InstanceKind.ENTRY && i.state() == InstanceState.LIVE)
            .collect(ImmutableList.toImmutableList());
    synchronized (this) {
      entries = live;
    }
  }

  /**
   * Opens a link if there is none or another entry is to be the reporting entry, and sends a report
   * if one is due. Must be called periodically.
   */
  synchronized void maintain() {
    long now = clock.getAsLong();
    unreachableUntilMillis.values().removeIf(until -> until <= now);
    Optional<InstanceInfo> chosen = chooseEntry();
    if (chosen.isPresent() && !opening && (link == null || !chosen.get().id().equals(entryId))) {
      open(chosen.get());
    }
    if (link != null) {
      reportIfDue(now);
    }
  }

  /** Returns the id of the reporting entry; empty if no link is open. */
  synchronized String entryId() {
    return link == null ? "" : entryId;
  }

  private Optional<InstanceInfo> chooseEntry() {
    ImmutableList<String> zoneEntryIds = reachableEntryIds(i -> i.zone().equals(settings.zone()));
    ImmutableList<String> candidateIds =
        zoneEntryIds.isEmpty()
            ? reachableEntryIds(i -> i.zone().region().equals(settings.zone().region()))
            : zoneEntryIds;
    return Rendezvous.reportingEntry(settings.id(), candidateIds)
        .flatMap(id -> entries.stream().filter(i -> i.id().equals(id)).findFirst());
  }

  private ImmutableList<String> reachableEntryIds(Predicate<InstanceInfo> filter) {
    return entries.stream()
        .filter(filter)
        .map(InstanceInfo::id)
        .filter(id -> !unreachableUntilMillis.containsKey(id))
        .collect(ImmutableList.toImmutableList());
  }

  // The callback handles success and failure, so the future that it returns is not needed.
  @SuppressWarnings("FutureReturnValueIgnored")
  private void open(InstanceInfo entry) {
    opening = true;
    InetSocketAddress address = entry.address();
    CompletableFuture<Link> connecting = client.open(address, new ForwardingHandler());
    connecting.whenComplete((opened, failure) -> onConnectEnded(entry, opened, failure));
  }

  private synchronized void onConnectEnded(InstanceInfo entry, Link opened, Throwable failure) {
    opening = false;
    if (failure != null) {
      unreachableUntilMillis.put(entry.id(), clock.getAsLong() + UNREACHABLE_MILLIS);
      return;
    }
    Link previous = link;
    link = opened;
    entryId = entry.id();
    reportedAtMillis = 0;
    // Heartbeats detect an entry that no longer responds, so that another entry is chosen.
    opened.setHeartbeat(true);
    if (previous != null) {
      previous.close();
    }
    EventLog.emit(LogEvent.REPORTING_ENTRY_CHANGED, "entry", entryId);
    reportIfDue(clock.getAsLong());
  }

  private synchronized void onLinkClosed(Link closed) {
    if (link == closed) {
      link = null;
      unreachableUntilMillis.put(entryId, clock.getAsLong() + UNREACHABLE_MILLIS);
    }
  }

  private void reportIfDue(long now) {
    int inFlight = admission.inFlight();
    boolean accepting = admission.isAccepting();
    boolean changed = inFlight != reportedInFlight || accepting != reportedAccepting;
    if (!changed && now - reportedAtMillis < MAX_REPORT_INTERVAL_MILLIS) {
      return;
    }
    reportedInFlight = inFlight;
    reportedAccepting = accepting;
    reportedAtMillis = now;
    link.send(loadBroadcaster.buildReport(inFlight));
  }

  /** Forwards all events to the frame handler, and handles the loss of the link. */
  private final class ForwardingHandler implements LinkHandler {
    @Override
    public void opened(Link opened) {
      frameHandler.opened(opened);
    }

    @Override
    public void received(Link from, Frame frame) {
      frameHandler.received(from, frame);
    }

    @Override
    public void closed(Link closed, String reason) {
      frameHandler.closed(closed, reason);
      onLinkClosed(closed);
    }

    @Override
    public void writable(Link writable) {
      frameHandler.writable(writable);
    }
  }
}
