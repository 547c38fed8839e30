package org.tanagerbank.request;

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
 * <p>The text form is URL-safe and contains a checksum, so that a damaged issued key is
 * distinguished from a key that a caller chose. Immutable and thread-safe.
 *
 * @param service the name of the service that the key is valid for
 * @param upstreamId the id of the upstream whose sidecar runs the request
 * @param incarnation the incarnation of that sidecar
 * @param expiresAtMillis the time at which the key expires, in milliseconds since the epoch
 * @param nonce a random number that makes the key unique
 */
public record RequestKey(
    String service, String upstreamId, long incarnation, long expiresAtMillis, long nonce) {
  /** The maximum length of a key, issued or chosen by a caller, in characters. */
  public static final int MAX_LENGTH = 255;

  private static final String PREFIX = "tbk1-";
  private static final int CHECKSUM_BYTES = 4;

  /**
   * The maximum length of the service name and the upstream id together; with longer names the text
   * form could exceed {@link #MAX_LENGTH}.
   */
  private static final int MAX_NAME_BYTES = 150;

  private static final BaseEncoding ENCODING = BaseEncoding.base64Url().omitPadding();

  public RequestKey {
    checkArgument(!service.isEmpty(), "service must not be empty");
    checkArgument(!upstreamId.isEmpty(), "upstream id must not be empty");
    int nameBytes =
        service.getBytes(StandardCharsets.UTF_8).length
            + upstreamId.getBytes(StandardCharsets.UTF_8).length;
    checkArgument(
        nameBytes <= MAX_NAME_BYTES,
        "service name and upstream id are too long for a key: %s bytes",
        nameBytes);
  }

  /** Returns whether a text has the prefix of an issued key; the key may still be damaged. */
  public static boolean isIssued(String text) {
    return text.startsWith(PREFIX);
  }

  /**
   * Parses the text form of an issued key.
   *
   * @throws TanagerException with code {@code KEY_MALFORMED} if the text is not a complete issued
   *     key
   */
  public static RequestKey parse(String text) {
    try {
      checkArgument(isIssued(text), "not an issued key");
      byte[] bytes = ENCODING.decode(text.substring(PREFIX.length()));
      int length = bytes.length - CHECKSUM_BYTES;
      checkArgument(length > 0, "key is too short");
      ByteArrayDataInput in = ByteStreams.newDataInput(bytes);
      RequestKey key =
          new RequestKey(
              readString(in), readString(in), in.readLong(), in.readLong(), in.readLong());
      checkArgument(in.readInt() == checksum(bytes, length), "checksum does not match");
      checkArgument(key.toString().equals(text), "key has trailing bytes");
      return key;
    } catch (IllegalArgumentException | IllegalStateException e) {
      throw TanagerException.failure(
          ErrorCode.KEY_MALFORMED, "the request key is damaged: " + e.getMessage(), e);
    }
  }

  /** Returns the text form, which {@link #parse} accepts. */
  @Override
  public String toString() {
    ByteArrayDataOutput out = ByteStreams.newDataOutput();
    writeString(out, service);
    writeString(out, upstreamId);
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

  private static void writeString(ByteArrayDataOutput out, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    out.writeByte(bytes.length);
    out.write(bytes);
  }

  private static String readString(ByteArrayDataInput in) {
    byte[] bytes = new byte[in.readByte() & 0xff];
    in.readFully(bytes);
    return new String(bytes, StandardCharsets.UTF_8);
  }
}
