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

/** Writes and reads digests as protobuf messages. Stateless and thread-safe. */
final class DigestCodec {
  private static final int MAX_PORT = 65_535;

  private DigestCodec() {}

  static PeerProto.Digest encode(PeerDigest digest) {
    PeerProto.Digest.Builder message =
        PeerProto.Digest.newBuilder()
            .setSender(address(digest.sender()))
            .setNumber(digest.number())
            .setConfigVersion(digest.configVersion());
    digest
        .inFlight()
        .forEach(
            (id, n) ->
                message.addWork(
                    PeerProto.UpstreamWork.newBuilder().setUpstreamId(id).setInFlight(n)));
    digest.placements().forEach(p -> message.addPlacements(placement(p)));
    digest.peers().forEach(p -> message.addPeers(address(p)));
    digest.caches().forEach(c -> message.addCaches(cache(c)));
    return message.build();
  }

  static byte[] encode(PeerAddress address) {
    return address(address).toByteArray();
  }

  /**
   * Decodes an address.
   *
   * @throws InvalidProtocolBufferException if the bytes are not an address
   */
  static PeerAddress decodeAddress(byte[] bytes) throws InvalidProtocolBufferException {
    return address(PeerProto.Address.parseFrom(bytes));
  }

  /**
   * Decodes a digest.
   *
   * @throws InvalidProtocolBufferException if the message names an address that is none
   */
  static PeerDigest decode(PeerProto.Digest message) throws InvalidProtocolBufferException {
    ImmutableMap.Builder<String, Integer> inFlight = ImmutableMap.builder();
    message.getWorkList().forEach(w -> inFlight.put(w.getUpstreamId(), w.getInFlight()));
    ImmutableList.Builder<PeerAddress> peers = ImmutableList.builder();
    for (PeerProto.Address peer : message.getPeersList()) {
      peers.add(address(peer));
    }
    return new PeerDigest(
        address(message.getSender()),
        message.getNumber(),
        message.getConfigVersion(),
        inFlight.buildKeepingLast(),
        message.getPlacementsList().stream()
            .map(DigestCodec::placement)
            .collect(ImmutableList.toImmutableList()),
        peers.build(),
        message.getCachesList().stream()
            .map(
                c ->
                    new CachedParts(
                        c.getUpstreamId(), parts(c.getPartIdsList(), c.getPartTokensList())))
            .collect(ImmutableList.toImmutableList()));
  }

  private static PeerProto.Address address(PeerAddress address) {
    return PeerProto.Address.newBuilder()
        .setInstanceId(address.instanceId())
        .setIp(InetAddresses.toAddrString(address.address().getAddress()))
        .setPort(address.address().getPort())
        .setIncarnation(address.incarnation())
        .build();
  }

  private static PeerAddress address(PeerProto.Address message)
      throws InvalidProtocolBufferException {
    boolean valid =
        InetAddresses.isInetAddress(message.getIp())
            && message.getPort() > 0
            && message.getPort() <= MAX_PORT
            && !message.getInstanceId().isEmpty();
    if (!valid) {
      throw new InvalidProtocolBufferException("not an address: " + message.getIp());
    }
    return new PeerAddress(
        message.getInstanceId(),
        new InetSocketAddress(InetAddresses.forString(message.getIp()), message.getPort()),
        message.getIncarnation());
  }

  private static PeerProto.Placement placement(PlacementNote note) {
    PeerProto.Placement.Builder message =
        PeerProto.Placement.newBuilder()
            .setNumber(note.number())
            .setUpstreamId(note.upstreamId())
            .setPromptTokens(note.prompt().promptTokens())
            .setFetchedTokens(note.fetchedTokens());
    for (PromptPart part : note.prompt().parts()) {
      message.addPartIds(part.id());
      message.addPartTokens(part.tokens());
    }
    return message.build();
  }

  private static PlacementNote placement(PeerProto.Placement message) {
    ImmutableList<PromptPart> parts = parts(message.getPartIdsList(), message.getPartTokensList());
    Prompt prompt = new Prompt("", parts, message.getPromptTokens(), 0);
    return new PlacementNote(
        message.getNumber(), message.getUpstreamId(), prompt, message.getFetchedTokens());
  }

  private static PeerProto.EngineCache cache(CachedParts caches) {
    PeerProto.EngineCache.Builder message =
        PeerProto.EngineCache.newBuilder().setUpstreamId(caches.upstreamId());
    for (PromptPart part : caches.parts()) {
      message.addPartIds(part.id());
      message.addPartTokens(part.tokens());
    }
    return message.build();
  }

  private static ImmutableList<PromptPart> parts(List<Long> ids, List<Integer> tokens) {
    return IntStream.range(0, Math.min(ids.size(), tokens.size()))
        .mapToObj(i -> new PromptPart(ids.get(i), tokens.get(i)))
        .collect(ImmutableList.toImmutableList());
  }
}
