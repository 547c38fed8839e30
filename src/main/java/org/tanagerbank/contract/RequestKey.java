package org.tanagerbank.contract;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import com.google.common.io.ByteArrayDataInput;
import com.google.common.io.ByteArrayDataOutput;
import com.google.common.io.ByteStreams;
import java.nio.charset.StandardCharsets;

/**
 * An idempotency key issued by an entry and bound to one incarnation of one sidecar.
 *
 * <p>Its text form is URL-safe and carries a checksum, so that a damaged key is told apart from one
 * that a caller made up. Immutable and thread-safe.
 *
 * @param service the service the key is for
 * @param upstreamId the upstream whose sidecar runs the request
 * @param incarnation the incarnation of that sidecar
 * @param expiresAtMillis when the key ends, in milliseconds since the epoch
 * @param nonce a random number that makes the key unique
 */
public record RequestKey(
    String service, String upstreamId, long incarnation, long expiresAtMillis, long nonce) {
  /** The longest key, issued or made up, in characters. */
  public static final int MAX_LENGTH = 255;

  private static final String PREFIX = "tbk1-";
  private static final int CHECKSUM_BYTES = 4;

  /** Both names together; more would make the text longer than {@link #MAX_LENGTH}. */
  private static final int MAX_NAME_BYTES = 150;

  private static final BaseEncoding ENCODING = BaseEncoding.base64Url().omitPadding();

  public RequestKey {
    checkArgument(!service.isEmpty(), "service must not be empty");
    checkArgument(!upstreamId.isEmpty(), "upstream id must not be empty");
    int names =
        service.getBytes(StandardCharsets.UTF_8).length
            + upstreamId.getBytes(StandardCharsets.UTF_8).length;
    checkArgument(names <= MAX_NAME_BYTES, "names are too long for a key: %s bytes", names);
  }

  /** Returns whether a text has the form of an issued key; it may still be damaged. */
  public static boolean isIssued(String text) {
    return text.startsWith(PREFIX);
  }

  /**
   * Reads an issued key.
   *
   * @throws TanagerException with code {@code KEY_MALFORMED} if the text is not a whole issued key
   */
  public static RequestKey parse(String text) {
    try {
      checkArgument(isIssued(text), "not an issued key");
      byte[] bytes = ENCODING.decode(text.substring(PREFIX.length()));
      int length = bytes.length - CHECKSUM_BYTES;
      checkArgument(length > 0, "key is too short");
      ByteArrayDataInput in = ByteStreams.newDataInput(bytes);
      RequestKey key =
          new RequestKey(readText(in), readText(in), in.readLong(), in.readLong(), in.readLong());
      checkArgument(in.readInt() == checksum(bytes, length), "checksum does not match");
      checkArgument(key.toString().equals(text), "key has trailing bytes");
      return key;
    } catch (IllegalArgumentException | IllegalStateException e) {
      throw TanagerException.failure(
          ErrorCode.KEY_MALFORMED, "the request key is damaged: " + e.getMessage(), e);
    }
  }

  /** Returns the text form. */
  @Override
  public String toString() {
    ByteArrayDataOutput out = ByteStreams.newDataOutput();
    writeText(out, service);
    writeText(out, upstreamId);
    out.writeLong(incarnation);
    out.writeLong(expiresAtMillis);
    out.writeLong(nonce);
    byte[] body = out.toByteArray();
    out.writeInt(checksum(body, body.length));
    return PREFIX + ENCODING.encode(out.toByteArray());
  }

  private static int checksum(byte[] bytes, int length) {
    return Hashing.crc32c().hashBytes(bytes, 0, length).asInt();
  }

  private static void writeText(ByteArrayDataOutput out, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    out.writeByte(bytes.length);
    out.write(bytes);
  }

  private static String readText(ByteArrayDataInput in) {
    byte[] bytes = new byte[in.readByte() & 0xff];
    in.readFully(bytes);
    return new String(bytes, StandardCharsets.UTF_8);
  }
}
