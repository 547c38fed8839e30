package org.tanagerbank.peer;

import static com.google.common.collect.ImmutableMap.toImmutableMap;
import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import org.tanagerbank.proto.PeerProto;
import org.tanagerbank.quarantine.CrashEvidence;
import org.tanagerbank.quarantine.CrashRecord;
import org.tanagerbank.quarantine.RunConditions;
import org.tanagerbank.quarantine.SuspectRecord;
import org.tanagerbank.quarantine.TrialClaim;
import org.tanagerbank.quarantine.UndecidedTrials;
import org.tanagerbank.request.Fingerprint;

/**
 * Converts suspects and trial claims to protobuf messages and back. A time that is relative to now
 * becomes an age. Stateless and thread-safe.
 */
public final class SuspectCodec {
  /** The number of kinds of software for which completed runs are read from a message. */
  private static final int MAX_SOFTWARE = 16;

  /** The number of companions of a suspect that are read from a message. */
  private static final int MAX_COMPANIONS = 64;

  private SuspectCodec() {}

  /** Converts a suspect, each crash with its companions. */
  private static PeerProto.Suspect toProto(SuspectRecord suspect) {
    PeerProto.Suspect.Builder message =
        toProto(suspect.fingerprint(), suspect.evidence().undecidedTrials());
    for (CrashRecord crash : suspect.evidence().crashes().values()) {
      PeerProto.Crash.Builder element = toProtoWithoutCompanions(crash);
      crash.companions().forEach(c -> element.addCompanions(c.value()));
      message.addCrashes(element);
    }
    return message.build();
  }

  /** Converts a suspect without its crashes. */
  static PeerProto.Suspect.Builder toProto(Fingerprint suspect, UndecidedTrials trials) {
    PeerProto.Suspect.Builder message =
        PeerProto.Suspect.newBuilder().setFingerprint(suspect.value());
    if (!trials.isNone()) {
      message.setUndecidedTrials(trials.count());
      message.setLastTrialAgeMillis(age(trials.lastAtMillis()));
    }
    return message;
  }

  static PeerProto.PartSet toProto(ImmutableSet<Fingerprint> parts) {
    PeerProto.PartSet.Builder message = PeerProto.PartSet.newBuilder();
    parts.forEach(p -> message.addFingerprints(p.value()));
    return message.build();
  }

  static ImmutableSet<Fingerprint> fromProto(PeerProto.PartSet message) {
    return fingerprints(message.getFingerprintsList());
  }

  private static ImmutableSet<Fingerprint> fingerprints(List<Long> values) {
    // A set of parts may hold the suspect itself beside its companions.
    return values.stream()
        .limit(MAX_COMPANIONS + 1L)
        .map(Fingerprint::new)
        .collect(toImmutableSet());
  }

  static PeerProto.Crash.Builder toProtoWithoutCompanions(CrashRecord crash) {
    PeerProto.Crash.Builder message =
        PeerProto.Crash.newBuilder()
            .setId(crash.crashId())
            .setDepth(crash.depth())
            .setIsolated(crash.isIsolated())
            .setAgeMillis(age(crash.atMillis()))
            .setSoftware(crash.conditions().software())
            .setPrompt(crash.conditions().prompt());
    crash
        .completions()
        .forEach(
            (software, runs) ->
                message.addCompletions(
                    PeerProto.CompletedRuns.newBuilder().setSoftware(software).setRuns(runs)));
    return message;
  }

  private static long age(long relativeMillis) {
    return Math.max(0, -relativeMillis);
  }

  /**
   * Converts suspects.
   *
   * @param partSets the sets of parts to which crashes refer by their index
   * @throws InvalidProtocolBufferException if there is no set with an index
   */
  static ImmutableList<SuspectRecord> fromProto(
      List<PeerProto.Suspect> messages, ImmutableList<ImmutableSet<Fingerprint>> partSets)
      throws InvalidProtocolBufferException {
    ImmutableList.Builder<SuspectRecord> suspects = ImmutableList.builder();
    for (PeerProto.Suspect message : messages) {
      suspects.add(fromProto(message, partSets));
    }
    return suspects.build();
  }

  private static SuspectRecord fromProto(
      PeerProto.Suspect message, ImmutableList<ImmutableSet<Fingerprint>> partSets)
      throws InvalidProtocolBufferException {
    Fingerprint suspect = new Fingerprint(message.getFingerprint());
    ImmutableList.Builder<CrashRecord> crashes = ImmutableList.builder();
    for (PeerProto.Crash crash : message.getCrashesList()) {
      crashes.add(fromProto(crash, companions(crash, suspect, partSets)));
    }
    UndecidedTrials trials =
        !message.hasLastTrialAgeMillis()
            ? UndecidedTrials.NONE
            : new UndecidedTrials(
                Math.max(0, message.getUndecidedTrials()),
                relativeTime(message.getLastTrialAgeMillis()));
    return new SuspectRecord(suspect, CrashEvidence.of(crashes.build(), trials));
  }

  private static ImmutableSet<Fingerprint> companions(
      PeerProto.Crash crash, Fingerprint suspect, ImmutableList<ImmutableSet<Fingerprint>> partSets)
      throws InvalidProtocolBufferException {
    if (!crash.hasPartSet()) {
      return fingerprints(crash.getCompanionsList());
    }
    int index = crash.getPartSet();
    if (index < 0 || index >= partSets.size()) {
      throw new InvalidProtocolBufferException(
          "expected one of " + partSets.size() + " sets of parts, got the index " + index);
    }
    return Sets.difference(partSets.get(index), ImmutableSet.of(suspect)).immutableCopy();
  }

  private static CrashRecord fromProto(
      PeerProto.Crash message, ImmutableSet<Fingerprint> companions) {
    return new CrashRecord(
        message.getId(),
        message.getDepth(),
        message.getIsolated(),
        relativeTime(message.getAgeMillis()),
        new RunConditions(message.getSoftware(), message.getPrompt()),
        message.getCompletionsList().stream()
            .limit(MAX_SOFTWARE)
            .collect(
                toImmutableMap(
                    PeerProto.CompletedRuns::getSoftware,
                    PeerProto.CompletedRuns::getRuns,
                    Math::max)),
        companions);
  }

  /** Returns the time of an age; an age that no process can have counts as the oldest possible. */
  private static long relativeTime(long ageMillis) {
    return ageMillis < 0 ? CrashEvidence.NEVER : Math.max(CrashEvidence.NEVER, -ageMillis);
  }

  static PeerProto.TrialClaim toProto(TrialClaim claim) {
    return PeerProto.TrialClaim.newBuilder()
        .setFingerprint(claim.fingerprint().value())
        .setRunning(claim.isRunning())
        .setUpstream(claim.upstream())
        .build();
  }

  static TrialClaim fromProto(PeerProto.TrialClaim message) {
    return new TrialClaim(
        new Fingerprint(message.getFingerprint()), message.getRunning(), message.getUpstream());
  }

  /**
   * Encodes a suspect for the store.
   *
   * @param nowEpochMillis the current time, in milliseconds since the epoch
   */
  public static byte[] encodeStored(SuspectRecord suspect, long nowEpochMillis) {
    return PeerProto.StoredSuspect.newBuilder()
        .setSuspect(toProto(suspect))
        .setWrittenAtEpochMillis(nowEpochMillis)
        .build()
        .toByteArray();
  }

  /**
   * Decodes a suspect from the store, with times relative to now.
   *
   * @throws InvalidProtocolBufferException if the bytes are not a stored suspect
   */
  public static SuspectRecord decodeStored(byte[] bytes, long nowEpochMillis)
      throws InvalidProtocolBufferException {
    PeerProto.StoredSuspect message = PeerProto.StoredSuspect.parseFrom(bytes);
    SuspectRecord suspect = fromProto(message.getSuspect(), ImmutableList.of());
    long storedMillis = Math.max(0, nowEpochMillis - message.getWrittenAtEpochMillis());
    return new SuspectRecord(suspect.fingerprint(), suspect.evidence().shiftBy(-storedMillis));
  }
}
