package org.tanagerbank.link;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageCodec;
import java.io.IOException;
import java.util.List;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;

/**
 * Encodes and decodes frames, each prefixed with its length as a varint, and counts their bytes.
 *
 * <p>A frame longer than {@link #MAX_FRAME_BYTES} is rejected as soon as its length is read, before
 * any memory is allocated for it. An instance belongs to one channel; not thread-safe.
 */
final class FrameCodec extends ByteToMessageCodec<Frame> {
  /** The maximum length of a frame without its length prefix. */
  static final int MAX_FRAME_BYTES = 1 << 20;

  private static final int MAX_VARINT32_BYTES = 5;

  private final LinkTraffic traffic;

  FrameCodec(LinkTraffic traffic) {
    super(Frame.class);
    this.traffic = traffic;
  }

  @Override
  protected void encode(ChannelHandlerContext ctx, Frame frame, ByteBuf out) throws IOException {
    int size = frame.getSerializedSize();
    checkSize(size);
    int total = CodedOutputStream.computeUInt32SizeNoTag(size) + size;
    out.ensureWritable(total);
    CodedOutputStream stream = CodedOutputStream.newInstance(new ByteBufOutputStream(out), total);
    stream.writeUInt32NoTag(size);
    frame.writeTo(stream);
    stream.flush();
    traffic.countSent(frame, total);
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
    int start = in.readerIndex();
    int size = readFrameLength(in);
    if (size < 0 || in.readableBytes() < size) {
      in.readerIndex(start);
      return;
    }
    try {
      Frame frame = Frame.parseFrom(in.nioBuffer(in.readerIndex(), size));
      in.skipBytes(size);
      traffic.countReceived(frame, in.readerIndex() - start);
      out.add(frame);
    } catch (InvalidProtocolBufferException e) {
      throw TanagerException.failure(
          ErrorCode.BAD_REQUEST, "frame is not a valid protobuf message", e);
    }
  }

  /** Reads and checks a frame length, or returns -1 if the length has not arrived completely. */
  private static int readFrameLength(ByteBuf in) {
    long value = 0;
    for (int i = 0; i < MAX_VARINT32_BYTES; i++) {
      if (!in.isReadable()) {
        return -1;
      }
      byte next = in.readByte();
      value |= (long) (next & 0x7f) << (7 * i);
      if (next >= 0) {
        checkSize(value);
        return (int) value;
      }
    }
    throw TanagerException.notRun(ErrorCode.BAD_REQUEST, "frame length is not a valid varint32");
  }

  private static void checkSize(long size) {
    if (size > MAX_FRAME_BYTES) {
      throw TanagerException.notRun(
          ErrorCode.FRAME_TOO_LARGE,
          "frame has " + size + " bytes; the maximum is " + MAX_FRAME_BYTES);
    }
  }
}
