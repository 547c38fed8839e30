package org.tanagerbank.peer;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.stream.Stream;
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

  private SuspectCodec() {}

  private static PeerProto.Suspect toProto(SuspectRecord suspect) {
    PeerProto.Suspect.Builder message =
        toProto(suspect.fingerprint(), suspect.evidence().undecidedTrials());
    suspect.evidence().crashes().values().forEach(c -> message.addCrashes(toProto(c)));
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

  static PeerProto.Crash toProto(CrashRecord crash) {
    PeerProto.Crash.Builder message =
        PeerProto.Crash.newBuilder()
            .setId(crash.crashId())
            .setDepth(crash.depth())
            .setIsolated(crash.isIsolated())
            .setAgeMillis(age(crash.atMillis()))
            .setSoftware(crash.conditions().software())
            .setPrompt(crash.conditions().prompt())
            .addAllRuns(crash.runs());
    crash
        .completions()
        .forEach(
            (software, runs) ->
                message.addCompletions(
                    PeerProto.CompletedRuns.newBuilder().setSoftware(software).setRuns(runs)));
    return message.build();
  }

  private static long age(long relativeMillis) {
    return Math.max(0, -relativeMillis);
  }

  static ImmutableList<SuspectRecord> fromProto(List<PeerProto.Suspect> messages) {
    return messages.stream().flatMap(SuspectCodec::fromProto).collect(toImmutableList());
  }

  /** Converts the suspects of which a message tells the same. */
  private static Stream<SuspectRecord> fromProto(PeerProto.Suspect message) {
    UndecidedTrials trials =
        !message.hasLastTrialAgeMillis()
            ? UndecidedTrials.NONE
            : new UndecidedTrials(
                Math.max(0, message.getUndecidedTrials()),
                relativeTime(message.getLastTrialAgeMillis()));
    CrashEvidence evidence =
        CrashEvidence.of(
            message.getCrashesList().stream()
                .map(SuspectCodec::fromProto)
                .collect(toImmutableList()),
            trials);
    return Stream.concat(Stream.of(message.getFingerprint()), message.getAlikeList().stream())
        .map(f -> new SuspectRecord(new Fingerprint(f), evidence));
  }

  private static CrashRecord fromProto(PeerProto.Crash message) {
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
                        Math::max)))
        .withRuns(message.getRunsList());
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
    SuspectRecord suspect = fromProto(message.getSuspect()).findFirst().orElseThrow();
    long storedMillis = Math.max(0, nowEpochMillis - message.getWrittenAtEpochMillis());
    return new SuspectRecord(suspect.fingerprint(), suspect.evidence().shiftBy(-storedMillis));
  }
}
