package org.tanagerbank.platform;

import com.google.common.collect.ImmutableList;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.tanagerbank.store.KeyedRecord;

/**
 * Encodes and decodes the records of a keyed topic. Stateless and thread-safe.
 *
 * <p>A record starts with the length of the rest of the record (4 bytes, big-endian). The length of
 * the key (1 byte), the key and the value follow. A record without a value removes its key.
 */
public final class RecordCodec {
  private static final int MAX_KEY_BYTES = 255;

  private RecordCodec() {}

  /** Returns the bytes of a record. */
  public static ByteBuf encode(KeyedRecord keyed) {
    byte[] key = keyed.key().getBytes(StandardCharsets.UTF_8);
    if (key.length == 0 || key.length > MAX_KEY_BYTES) {
      throw new IllegalArgumentException(
          "expected a key of 1 to 255 bytes, got " + key.length + " bytes");
    }
    byte[] value = keyed.value().orElse(new byte[0]);
    ByteBuf bytes = Unpooled.buffer(Integer.BYTES + 1 + key.length + value.length);
    bytes.writeInt(1 + key.length + value.length);
    bytes.writeByte(key.length);
    bytes.writeBytes(key);
    bytes.writeBytes(value);
    return bytes;
  }

  /**
   * Decodes the complete records in a buffer. An incomplete record at the end is omitted. A record
   * without a valid key is returned as an empty element, because it occupies an offset.
   */
  public static ImmutableList<Optional<KeyedRecord>> decode(ByteBuffer bytes) {
    ImmutableList.Builder<Optional<KeyedRecord>> records = ImmutableList.builder();
    while (bytes.remaining() >= Integer.BYTES) {
      int length = bytes.getInt();
      if (length < 0 || length > bytes.remaining()) {
        break;
      }
      byte[] content = new byte[length];
      bytes.get(content);
      records.add(keyed(content));
    }
    return records.build();
  }

  private static Optional<KeyedRecord> keyed(byte[] content) {
    int keyLength = content.length == 0 ? 0 : Byte.toUnsignedInt(content[0]);
    if (keyLength == 0 || content.length < 1 + keyLength) {
      return Optional.empty();
    }
    String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
    int valueStart = 1 + keyLength;
    byte[] value = new byte[content.length - valueStart];
    System.arraycopy(content, valueStart, value, 0, value.length);
    return Optional.of(
        new KeyedRecord(key, value.length == 0 ? Optional.empty() : Optional.of(value)));
  }
}
