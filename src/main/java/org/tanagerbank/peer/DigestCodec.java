package org.tanagerbank.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.Iterables;
import com.google.common.net.InetAddresses;
import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.tanagerbank.engine.Prompt;
import org.tanagerbank.engine.PromptPart;
import org.tanagerbank.proto.PeerProto;

/** Converts digests and peer addresses to protobuf messages and back. Stateless and thread-safe. */
final class DigestCodec {
  private static final int MAX_PORT = 65_535;

  /** The first parts of a prompt, of which a placement tells; a later part matters little. */
  private static final int MAX_PARTS = 64;

  private DigestCodec() {}

  /** Converts the state that a digest tells, without its requests in flight and its news. */
  static PeerProto.Digest.Builder stateToProto(PeerDigest digest) {
    PeerProto.Digest.Builder message =
        PeerProto.Digest.newBuilder()
            .setSender(toProto(digest.sender()))
            .setNumber(digest.number())
            .setConfigVersion(digest.configVersion());
    digest.trialClaims().forEach(c -> message.addTrialClaims(SuspectCodec.toProto(c)));
    return message;
  }

  static PeerProto.UpstreamWork toProto(String upstreamId, int inFlight) {
    return PeerProto.UpstreamWork.newBuilder()
        .setUpstreamId(upstreamId)
        .setInFlight(inFlight)
        .build();
  }

  static byte[] encode(PeerAddress address) {
    return toProto(address).toByteArray();
  }

  /**
   * Decodes an address.
   *
   * @throws InvalidProtocolBufferException if the bytes are not a valid address
   */
  static PeerAddress decodeAddress(byte[] bytes) throws InvalidProtocolBufferException {
    return fromProto(PeerProto.Address.parseFrom(bytes));
  }

  /**
   * Converts a protobuf message to a digest.
   *
   * @throws InvalidProtocolBufferException if an address in the message is invalid
   */
  static PeerDigest fromProto(PeerProto.Digest message) throws InvalidProtocolBufferException {
    return new PeerDigest(
        fromProto(message.getSender()),
        message.getNumber(),
        message.getConfigVersion(),
        new WorkRange("", message.getWorkUntil(), inFlight(message.getWorkList())),
        message.getTrialClaimsList().stream()
            .map(SuspectCodec::fromProto)
            .collect(ImmutableList.toImmutableList()),
        new DigestNews(
            placements(message.getPlacementsList()),
            addresses(message.getPeersList()),
            SuspectCodec.fromProto(message.getSuspectsList()),
            caches(message.getCachesList())));
  }

  /**
   * Converts a protobuf message to a continuation.
   *
   * @throws InvalidProtocolBufferException if an address in the message is invalid
   */
  static DigestContinuation fromProto(PeerProto.DigestContinuation message)
      throws InvalidProtocolBufferException {
    PeerProto.WorkRange work = message.getWork();
    return new DigestContinuation(
        fromProto(message.getSender()),
        message.getNumber(),
        message.hasWork()
            ? Optional.of(
                new WorkRange(work.getAfter(), work.getUntil(), inFlight(work.getWorkList())))
            : Optional.empty(),
        new DigestNews(
            placements(message.getPlacementsList()),
            addresses(message.getPeersList()),
            SuspectCodec.fromProto(message.getSuspectsList()),
            caches(message.getCachesList()),
            CapacityCodec.fromProto(message.getCapacitiesList())));
  }

  private static ImmutableSortedMap<String, Integer> inFlight(List<PeerProto.UpstreamWork> work) {
    return work.stream()
        .collect(
            ImmutableSortedMap.toImmutableSortedMap(
                Comparator.naturalOrder(),
                PeerProto.UpstreamWork::getUpstreamId,
                PeerProto.UpstreamWork::getInFlight,
                (first, last) -> last));
  }

  private static ImmutableList<PeerPlacement> placements(List<PeerProto.Placement> messages) {
    return messages.stream().map(DigestCodec::fromProto).collect(ImmutableList.toImmutableList());
  }

  private static ImmutableList<CachedParts> caches(List<PeerProto.EngineCache> messages) {
    return messages.stream()
        .map(
            c ->
                new CachedParts(
                    c.getUpstreamId(), parts(c.getPartIdsList(), c.getPartTokensList())))
        .collect(ImmutableList.toImmutableList());
  }

  private static ImmutableList<PeerAddress> addresses(List<PeerProto.Address> messages)
      throws InvalidProtocolBufferException {
    ImmutableList.Builder<PeerAddress> addresses = ImmutableList.builder();
    for (PeerProto.Address message : messages) {
      addresses.add(fromProto(message));
    }
    return addresses.build();
  }

  static PeerProto.Address toProto(PeerAddress address) {
    return PeerProto.Address.newBuilder()
        .setInstanceId(address.instanceId())
        .setIp(InetAddresses.toAddrString(address.address().getAddress()))
        .setPort(address.address().getPort())
        .setIncarnation(address.incarnation())
        .build();
  }

  private static PeerAddress fromProto(PeerProto.Address message)
      throws InvalidProtocolBufferException {
    boolean valid =
        InetAddresses.isInetAddress(message.getIp())
            && message.getPort() > 0
            && message.getPort() <= MAX_PORT
            && !message.getInstanceId().isEmpty();
    if (!valid) {
      throw new InvalidProtocolBufferException(
          "invalid peer address, expected an instance id, an IP number and a port: instance \""
              + message.getInstanceId()
              + "\", ip \""
              + message.getIp()
              + "\", port "
              + message.getPort());
    }
    return new PeerAddress(
        message.getInstanceId(),
        new InetSocketAddress(InetAddresses.forString(message.getIp()), message.getPort()),
        message.getIncarnation());
  }

  static PeerProto.Placement toProto(PeerPlacement placement) {
    PeerProto.Placement.Builder message =
        PeerProto.Placement.newBuilder()
            .setNumber(placement.number())
            .setUpstreamId(placement.upstreamId())
            .setPromptTokens(placement.prompt().promptTokens())
            .setFetchedTokens(placement.fetchedTokens());
    for (PromptPart part : Iterables.limit(placement.prompt().parts(), MAX_PARTS)) {
      message.addPartIds(part.id());
      message.addPartTokens(part.tokens());
    }
    return message.build();
  }

  private static PeerPlacement fromProto(PeerProto.Placement message) {
    ImmutableList<PromptPart> parts = parts(message.getPartIdsList(), message.getPartTokensList());
    Prompt prompt = new Prompt("", parts, message.getPromptTokens(), 0);
    return new PeerPlacement(
        message.getNumber(), message.getUpstreamId(), prompt, message.getFetchedTokens());
  }

  static PeerProto.EngineCache toProto(CachedParts caches) {
    PeerProto.EngineCache.Builder message =
        PeerProto.EngineCache.newBuilder().setUpstreamId(caches.upstreamId());
    for (PromptPart part : caches.parts()) {
      message.addPartIds(part.id());
      message.addPartTokens(part.tokens());
    }
    return message.build();
  }

  /** Returns the prompt parts of two parallel lists; surplus elements of the longer are ignored. */
  private static ImmutableList<PromptPart> parts(List<Long> ids, List<Integer> tokens) {
    return IntStream.range(0, Math.min(ids.size(), tokens.size()))
        .mapToObj(i -> new PromptPart(ids.get(i), tokens.get(i)))
        .collect(ImmutableList.toImmutableList());
  }
}
