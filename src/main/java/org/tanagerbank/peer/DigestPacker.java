package org.tanagerbank.peer;

import com.google.common.base.Utf8;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.Multimaps;
import com.google.protobuf.MessageLite;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.tanagerbank.capacity.CapacityNews;
import org.tanagerbank.proto.PeerProto;
import org.tanagerbank.quarantine.CrashEvidence;
import org.tanagerbank.quarantine.CrashRecord;
import org.tanagerbank.quarantine.SuspectRecord;
import org.tanagerbank.request.Fingerprint;

/**
 * Packs a digest into datagrams, each small enough that networks do not fragment it: the state
 * first, and what does not fit beside it in continuations.
 *
 * <p>No datagram needs another one: a continuation tells of a range of upstreams, and of suspects
 * with some of their crashes. So a lost datagram costs only its own content. Not thread-safe; an
 * instance packs one digest.
 */
final class DigestPacker {
  /** The largest datagram that common networks deliver in one piece, with room for headers. */
  static final int MAX_DATAGRAM_BYTES = 1_400;

  /** Bounds the bytes of the tags and lengths around the content of a datagram. */
  private static final int ENVELOPE_BYTES = 16;

  /** Bounds the bytes of the tag and the length of one element. */
  private static final int ELEMENT_OVERHEAD_BYTES = 4;

  /** Bounds the bytes of a suspect without its crashes and those that are alike. */
  private static final int SUSPECT_BYTES = 24;

  /** The crashes of a suspect in one element, so that many suspects fit beside them. */
  private static final int MAX_CRASH_BYTES = 500;

  private static final int MAX_CONTENT_BYTES = MAX_DATAGRAM_BYTES - ENVELOPE_BYTES;

  private final PeerDigest digest;
  private final List<byte[]> datagrams = new ArrayList<>();
  private final PeerProto.Digest.Builder state;
  private int stateBytes;
  private PeerProto.DigestContinuation.Builder continuation;
  private int continuationBytes;

  private DigestPacker(PeerDigest digest) {
    this.digest = digest;
    this.state = DigestCodec.stateToProto(digest);
    this.stateBytes = state.build().getSerializedSize();
    beginContinuation();
  }

  /** Returns the datagrams of a digest, the state first. */
  static ImmutableList<byte[]> pack(PeerDigest digest) {
    DigestPacker packer = new DigestPacker(digest);
    packer.addWork();
    packer.addNews();
    packer.flush();
    byte[] state = PeerProto.Datagram.newBuilder().setDigest(packer.state).build().toByteArray();
    return ImmutableList.<byte[]>builder().add(state).addAll(packer.datagrams).build();
  }

  /** Returns the datagrams that tell only the news of a digest. */
  static ImmutableList<byte[]> packNews(PeerDigest digest) {
    DigestPacker packer = new DigestPacker(digest);
    packer.stateBytes = MAX_CONTENT_BYTES;
    packer.addNews();
    packer.flush();
    return ImmutableList.copyOf(packer.datagrams);
  }

  private void beginContinuation() {
    continuation =
        PeerProto.DigestContinuation.newBuilder()
            .setSender(DigestCodec.toProto(digest.sender()))
            .setNumber(digest.number());
    continuationBytes = continuation.build().getSerializedSize();
  }

  private boolean hasContent() {
    return continuation.hasWork()
        || continuation.getPlacementsCount() > 0
        || continuation.getPeersCount() > 0
        || continuation.getCachesCount() > 0
        || continuation.getSuspectsCount() > 0
        || continuation.getCapacitiesCount() > 0;
  }

  /** Ends the continuation in progress, if it has any content, and begins the next one. */
  private void flush() {
    if (hasContent()) {
      datagrams.add(
          PeerProto.Datagram.newBuilder().setContinuation(continuation).build().toByteArray());
      beginContinuation();
    }
  }

  private static int size(MessageLite element) {
    return element.getSerializedSize() + ELEMENT_OVERHEAD_BYTES;
  }

  /** Returns whether an element goes into the datagram of the state, and counts its bytes if so. */
  private boolean fitsState(int bytes) {
    boolean fits = stateBytes + bytes <= MAX_CONTENT_BYTES;
    stateBytes += fits ? bytes : 0;
    return fits;
  }

  /** Counts the bytes of an element of a continuation, after the end of a full one. */
  private void reserve(int bytes) {
    if (continuationBytes + bytes > MAX_CONTENT_BYTES) {
      flush();
    }
    continuationBytes += bytes;
  }

  private void addWork() {
    ImmutableSortedMap<String, Integer> inFlight = digest.work().inFlight();
    int maxIdBytes = inFlight.keySet().stream().mapToInt(Utf8::encodedLength).max().orElse(0);
    stateBytes += maxIdBytes + ELEMENT_OVERHEAD_BYTES;
    String previousId = "";
    for (Map.Entry<String, Integer> entry : inFlight.entrySet()) {
      PeerProto.UpstreamWork work = DigestCodec.toProto(entry.getKey(), entry.getValue());
      if (state.getWorkUntil().isEmpty() && fitsState(size(work))) {
        state.addWork(work);
      } else {
        addToRange(work, maxIdBytes + ELEMENT_OVERHEAD_BYTES, previousId);
      }
      previousId = entry.getKey();
    }
  }

  /**
   * Adds the requests at an upstream that did not fit beside the state.
   *
   * @param idBytes the space for an id at an end of the range
   */
  private void addToRange(PeerProto.UpstreamWork work, int idBytes, String previousId) {
    if (state.getWorkUntil().isEmpty()) {
      state.setWorkUntil(previousId);
    }
    if (continuation.hasWork() && continuationBytes + size(work) > MAX_CONTENT_BYTES) {
      continuation.getWorkBuilder().setUntil(previousId);
      flush();
    }
    if (!continuation.hasWork()) {
      continuation.setWork(PeerProto.WorkRange.newBuilder().setAfter(previousId));
      continuationBytes += 2 * idBytes;
    }
    continuation.getWorkBuilder().addWork(work);
    continuationBytes += size(work);
  }

  private void addNews() {
    DigestNews news = digest.news();
    news.placements().forEach(this::addPlacement);
    news.peers().forEach(this::addPeer);
    Multimaps.index(news.suspects(), SuspectRecord::evidence)
        .asMap()
        .forEach((evidence, alike) -> addSuspects(ImmutableList.copyOf(alike), evidence));
    news.caches().forEach(this::addCache);
    news.capacities().forEach(this::addCapacity);
  }

  private void addPlacement(PeerPlacement placement) {
    PeerProto.Placement element = DigestCodec.toProto(placement);
    if (fitsState(size(element))) {
      state.addPlacements(element);
    } else {
      reserve(size(element));
      continuation.addPlacements(element);
    }
  }

  private void addPeer(PeerAddress peer) {
    PeerProto.Address element = DigestCodec.toProto(peer);
    if (fitsState(size(element))) {
      state.addPeers(element);
    } else {
      reserve(size(element));
      continuation.addPeers(element);
    }
  }

  private void addCache(CachedParts cache) {
    PeerProto.EngineCache element = DigestCodec.toProto(cache);
    reserve(size(element));
    continuation.addCaches(element);
  }

  private void addCapacity(CapacityNews capacity) {
    PeerProto.Capacity element = CapacityCodec.toProto(capacity);
    reserve(size(element));
    continuation.addCapacities(element);
  }

  /** Adds suspects with the same evidence. */
  private void addSuspects(ImmutableList<SuspectRecord> alike, CrashEvidence evidence) {
    PeerProto.Suspect.Builder element =
        SuspectCodec.toProto(new Fingerprint(0), evidence.undecidedTrials());
    int crashBytes = 0;
    for (CrashRecord crash : evidence.crashes().values()) {
      PeerProto.Crash message = SuspectCodec.toProto(crash);
      if (element.getCrashesCount() > 0 && crashBytes + size(message) > MAX_CRASH_BYTES) {
        addAlike(alike, element, crashBytes);
        element = PeerProto.Suspect.newBuilder();
        crashBytes = 0;
      }
      element.addCrashes(message);
      crashBytes += size(message);
    }
    addAlike(alike, element, crashBytes);
  }

  /** Adds an element for some suspects, once in each datagram that it takes to name them all. */
  private void addAlike(
      ImmutableList<SuspectRecord> alike, PeerProto.Suspect.Builder element, int crashBytes) {
    int elementBytes = SUSPECT_BYTES + crashBytes;
    for (int from = 0; from < alike.size(); ) {
      if (continuationBytes + elementBytes > MAX_CONTENT_BYTES) {
        flush();
      }
      int room = (MAX_CONTENT_BYTES - continuationBytes - elementBytes) / Long.BYTES;
      int until = Math.min(alike.size(), from + 1 + Math.max(0, room));
      element.setFingerprint(alike.get(from).fingerprint().value()).clearAlike();
      alike.subList(from + 1, until).forEach(s -> element.addAlike(s.fingerprint().value()));
      continuationBytes += elementBytes + (until - from - 1) * Long.BYTES;
      continuation.addSuspects(element.build());
      from = until;
    }
  }
}
