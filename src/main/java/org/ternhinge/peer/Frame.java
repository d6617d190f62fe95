package org.ternhinge.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;

/**
 * A message between controllers. Format: length of the remaining frame (4 bytes), id (8), type (1),
 * then method, path and body of a request, or status (4), retry time in seconds (4) and body of a
 * response. Each string and body is prefixed with its length (4). All integers are big-endian.
 */
sealed interface Frame {
  /** Type of a {@link RequestFrame}. */
  byte REQUEST = 1;

  /** Type of a {@link ResponseFrame}. */
  byte RESPONSE = 2;

  /** Size in bytes of the length prefix of a frame, a string or a body. */
  int LENGTH_BYTES = Integer.BYTES;

  /** The id of the request, chosen by its sender and repeated in the response. */
  long id();

  /** Encodes the frame, including its length prefix. */
  ByteBuffer encode();

  /** A request to another controller. */
  record RequestFrame(long id, Request request) implements Frame {
    @Override
    public ByteBuffer encode() {
      byte[] method = request.method().getBytes(StandardCharsets.UTF_8);
      byte[] path = request.path().getBytes(StandardCharsets.UTF_8);
      int size = encodedSize(method) + encodedSize(path) + encodedSize(request.body());
      ByteBuffer out = allocateWithHeader(id, REQUEST, size);
      writeBytes(out, method);
      writeBytes(out, path);
      writeBytes(out, request.body());
      return out.flip();
    }
  }

  /** The response to a request of another controller. */
  record ResponseFrame(long id, Response response) implements Frame {
    @Override
    public ByteBuffer encode() {
      ByteBuffer out =
          allocateWithHeader(id, RESPONSE, 2 * Integer.BYTES + encodedSize(response.body()));
      out.putInt(response.status()).putInt(response.retryAfterS());
      writeBytes(out, response.body());
      return out.flip();
    }
  }

  /**
   * Decodes a frame without its length prefix.
   *
   * @throws RuntimeException when the frame is malformed
   */
  static Frame decode(ByteBuffer in) {
    long id = in.getLong();
    byte type = in.get();
    if (type == REQUEST) {
      String method = new String(readBytes(in), StandardCharsets.UTF_8);
      String path = new String(readBytes(in), StandardCharsets.UTF_8);
      return new RequestFrame(id, new Request(method, path, readBytes(in)));
    }
    if (type == RESPONSE) {
      int status = in.getInt();
      int retryAfterS = in.getInt();
      return new ResponseFrame(id, new Response(status, readBytes(in), retryAfterS));
    }
    throw new IllegalArgumentException("unknown frame type " + type);
  }

  private static ByteBuffer allocateWithHeader(long id, byte type, int contentBytes) {
    int size = Long.BYTES + Byte.BYTES + contentBytes;
    return ByteBuffer.allocate(LENGTH_BYTES + size).putInt(size).putLong(id).put(type);
  }

  private static int encodedSize(byte[] bytes) {
    return LENGTH_BYTES + bytes.length;
  }

  private static void writeBytes(ByteBuffer out, byte[] bytes) {
    out.putInt(bytes.length).put(bytes);
  }

  private static byte[] readBytes(ByteBuffer in) {
    int length = in.getInt();
    if (length < 0 || length > in.remaining()) {
      throw new IllegalArgumentException("invalid length " + length);
    }
    byte[] out = new byte[length];
    in.get(out);
    return out;
  }
}
