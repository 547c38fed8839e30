package org.tanagerbank.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.tanagerbank.entry.ClaimIndex.Claim;
import org.tanagerbank.http.Json;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;

/** Reads and writes the records of stream {@code claims}. Stateless. */
final class ClaimCodec {
  /**
   * The length of a key hash in hexadecimal characters. The 128 bits are enough that no caller can
   * construct a collision.
   */
  private static final int HASH_CHARACTERS = 32;

  private ClaimCodec() {}

  /**
   * Returns the hash of an idempotency key within a workspace and a service. Equal keys of
   * different workspaces or services have different hashes.
   */
  static String keyHash(String workspace, String service, String key) {
    return Hashing.sha256()
        .newHasher()
        .putInt(workspace.length())
        .putString(workspace, StandardCharsets.UTF_8)
        .putInt(service.length())
        .putString(service, StandardCharsets.UTF_8)
        .putString(key, StandardCharsets.UTF_8)
        .hash()
        .toString()
        .substring(0, HASH_CHARACTERS);
  }

  static byte[] encode(List<Claim> claims) {
    ObjectNode root = Json.object();
    ArrayNode rows = root.putArray("claims");
    for (Claim claim : claims) {
      ObjectNode row =
          rows.addObject()
              .put("nonce", claim.nonce())
              .put("key", claim.key())
              .put("upstream", claim.upstreamId())
              .put("incarnation", claim.incarnation());
      if (claim.supersedes() != 0) {
        row.put("supersedes", claim.supersedes());
      }
    }
    return Json.bytes(root);
  }

  /**
   * Decodes a record.
   *
   * @throws TanagerException if the data is not a valid claim record
   */
  static ImmutableList<Claim> decode(byte[] data) {
    ImmutableList.Builder<Claim> claims = ImmutableList.builder();
    try {
      for (JsonNode row : Json.parseObject(data).required("claims")) {
        claims.add(
            new Claim(
                row.required("nonce").asText(),
                row.required("key").asText(),
                row.required("upstream").asText(),
                row.required("incarnation").asLong(),
                row.path("supersedes").asLong(0)));
      }
    } catch (IllegalArgumentException e) {
      throw TanagerException.failure(ErrorCode.MALFORMED_JSON, e.getMessage(), e);
    }
    return claims.build();
  }
}
