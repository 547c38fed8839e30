package org.tanagerbank.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.InetAddresses;
import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.stream.IntStream;
import org.tanagerbank.engine.Prompt;
import org.tanagerbank.engine.PromptPart;
import org.tanagerbank.proto.PeerProto;

/** Converts digests and peer addresses to protobuf messages and back. Stateless and thread-safe. */
final class DigestCodec {
  private static final int MAX_PORT = 65_535;

  private DigestCodec() {}

  static PeerProto.Digest toProto(PeerDigest digest) {
    PeerProto.Digest.Builder message =
        PeerProto.Digest.newBuilder()
            .setSender(toProto(digest.sender()))
            .setNumber(digest.number())
            .setConfigVersion(digest.configVersion());
    digest
        .inFlight()
        .forEach(
            (id, n) ->
                message.addWork(
                    PeerProto.UpstreamWork.newBuilder().setUpstreamId(id).setInFlight(n)));
    digest.placements().forEach(p -> message.addPlacements(toProto(p)));
    digest.peers().forEach(p -> message.addPeers(toProto(p)));
    digest.suspects().forEach(s -> message.addSuspects(SuspectCodec.toProto(s)));
    digest.trialClaims().forEach(c -> message.addTrialClaims(SuspectCodec.toProto(c)));
    digest.caches().forEach(c -> message.addCaches(toProto(c)));
    return message.build();
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
    ImmutableMap.Builder<String, Integer> inFlight = ImmutableMap.builder();
    message.getWorkList().forEach(w -> inFlight.put(w.getUpstreamId(), w.getInFlight()));
    ImmutableList.Builder<PeerAddress> peers = ImmutableList.builder();
    for (PeerProto.Address peer : message.getPeersList()) {
      peers.add(fromProto(peer));
    }
    return new PeerDigest(
        fromProto(message.getSender()),
        message.getNumber(),
        message.getConfigVersion(),
        inFlight.buildKeepingLast(),
        message.getPlacementsList().stream()
            .map(DigestCodec::fromProto)
            .collect(ImmutableList.toImmutableList()),
        peers.build(),
        message.getSuspectsList().stream()
            .map(SuspectCodec::fromProto)
            .collect(ImmutableList.toImmutableList()),
        message.getTrialClaimsList().stream()
            .map(SuspectCodec::fromProto)
            .collect(ImmutableList.toImmutableList()),
        message.getCachesList().stream()
            .map(
                c ->
                    new CachedParts(
                        c.getUpstreamId(), parts(c.getPartIdsList(), c.getPartTokensList())))
            .collect(ImmutableList.toImmutableList()));
  }

  private static PeerProto.Address toProto(PeerAddress address) {
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

  private static PeerProto.Placement toProto(PeerPlacement placement) {
    PeerProto.Placement.Builder message =
        PeerProto.Placement.newBuilder()
            .setNumber(placement.number())
            .setUpstreamId(placement.upstreamId())
            .setPromptTokens(placement.prompt().promptTokens())
            .setFetchedTokens(placement.fetchedTokens());
    for (PromptPart part : placement.prompt().parts()) {
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

  private static PeerProto.EngineCache toProto(CachedParts caches) {
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
