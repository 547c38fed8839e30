package org.tanagerbank.standin.direct;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.function.Consumer;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;

/**
 * Appends records as JSON lines to a file that several processes share.
 *
 * <p>Each line is a single write in append mode, so that lines of different processes are never
 * mixed. A line has been handed to the operating system when {@link #accept} returns, so that it
 * outlives a crash of the process. Not thread-safe.
 */
public final class RunRecordFile implements Consumer<RunRecord>, AutoCloseable {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final FileChannel channel;

  private RunRecordFile(FileChannel channel) {
    this.channel = channel;
  }

  /**
   * Opens a file for appending, and creates it if it is missing.
   *
   * @throws TanagerException if the file cannot be opened
   */
  public static RunRecordFile open(Path path) {
    try {
      return new RunRecordFile(
          FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.APPEND));
    } catch (IOException e) {
      throw TanagerException.failure(
          ErrorCode.INVALID_SETTINGS, "cannot open the record " + path, e);
    }
  }

  @Override
  public void accept(RunRecord record) {
    try {
      byte[] line = (MAPPER.writeValueAsString(record) + "\n").getBytes(StandardCharsets.UTF_8);
      int written = channel.write(ByteBuffer.wrap(line));
      if (written != line.length) {
        throw new IOException("wrote " + written + " of " + line.length + " bytes of a record");
      }
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void close() {
    try {
      channel.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
