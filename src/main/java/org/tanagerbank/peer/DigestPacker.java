package org.tanagerbank.peer;

import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.base.Utf8;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.Iterables;
import com.google.protobuf.MessageLite;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.tanagerbank.capacity.CapacityNews;
import org.tanagerbank.proto.PeerProto;
import org.tanagerbank.quarantine.CrashRecord;
import org.tanagerbank.quarantine.SuspectRecord;
import org.tanagerbank.quarantine.UndecidedTrials;
import org.tanagerbank.request.Fingerprint;

/**
 * Packs a digest into datagrams, each small enough that networks do not fragment it: the state
 * first, and what does not fit beside it in continuations.
 *
 * <p>No datagram needs another one: a continuation tells of a range of upstreams, and holds the
 * parts of prompts to which its suspects refer. So a lost datagram costs only its own content. Not
 * thread-safe; an instance packs one digest.
 */
final class DigestPacker {
  /** The largest datagram that common networks deliver in one piece, with room for headers. */
  static final int MAX_DATAGRAM_BYTES = 1_400;

  /** Bounds the bytes of the tags and lengths around the content of a datagram. */
  private static final int ENVELOPE_BYTES = 16;

  /** Bounds the bytes of the tag and the length of one element. */
  private static final int ELEMENT_OVERHEAD_BYTES = 4;

  /** Bounds the bytes of a suspect without its crashes, and of the index of a set of parts. */
  private static final int SUSPECT_BYTES = 24;

  private static final int MAX_CONTENT_BYTES = MAX_DATAGRAM_BYTES - ENVELOPE_BYTES;

  private final PeerDigest digest;
  private final List<byte[]> datagrams = new ArrayList<>();
  private final PeerProto.Digest.Builder state;
  private int stateBytes;
  private PeerProto.DigestContinuation.Builder continuation;
  private int continuationBytes;
  private final Map<ImmutableSet<Fingerprint>, Integer> partSets = new HashMap<>();

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
    partSets.clear();
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
    news.suspects().forEach(this::addSuspect);
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

  private void addSuspect(SuspectRecord suspect) {
    UndecidedTrials trials = suspect.evidence().undecidedTrials();
    if (!trials.isNone()) {
      PeerProto.Suspect.Builder element = SuspectCodec.toProto(suspect.fingerprint(), trials);
      reserve(size(element.build()));
      continuation.addSuspects(element);
    }
    suspect.evidence().crashes().values().forEach(c -> addCrash(suspect.fingerprint(), c));
  }

  private void addCrash(Fingerprint suspect, CrashRecord crash) {
    PeerProto.Crash.Builder element = SuspectCodec.toProtoWithoutCompanions(crash);
    ImmutableSet<Fingerprint> parts = partsInFlight(suspect, crash);
    int bytes = size(element.build()) + SUSPECT_BYTES;
    if (continuationBytes + bytes + newSetBytes(parts) > MAX_CONTENT_BYTES) {
      flush();
    }
    continuationBytes += bytes + newSetBytes(parts);
    if (!partSets.containsKey(parts)) {
      partSets.put(parts, partSets.size());
      continuation.addPartSets(SuspectCodec.toProto(parts));
    }
    element.setPartSet(partSets.get(parts));
    openSuspect(suspect).addCrashes(element);
  }

  private int newSetBytes(ImmutableSet<Fingerprint> parts) {
    return partSets.containsKey(parts) ? 0 : size(SuspectCodec.toProto(parts));
  }

  /** All suspects of one run have the same set, which is then sent only once. */
  private static ImmutableSet<Fingerprint> partsInFlight(Fingerprint suspect, CrashRecord crash) {
    return suspect.isPromptPart()
        ? Stream.concat(Stream.of(suspect), crash.companions().stream()).collect(toImmutableSet())
        : crash.companions();
  }

  private PeerProto.Suspect.Builder openSuspect(Fingerprint suspect) {
    List<PeerProto.Suspect.Builder> open = continuation.getSuspectsBuilderList();
    PeerProto.Suspect.Builder last = Iterables.getLast(open, null);
    boolean isOpen = last != null && last.getFingerprint() == suspect.value();
    return isOpen ? last : continuation.addSuspectsBuilder().setFingerprint(suspect.value());
  }
}
