package org.ternhinge.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;

/**
 * One message between controllers: length, id, type, then either method, path and body or status,
 * time to come back and body. Strings and bodies carry their own length.
 */
record Frame(long id, Request request, Response response) {
  private static final byte REQUEST = 1;
  private static final byte RESPONSE = 2;

  static ByteBuffer request(long id, Request request) {
    byte[] method = request.method().getBytes(StandardCharsets.UTF_8);
    byte[] path = request.path().getBytes(StandardCharsets.UTF_8);
    int size = 8 + 1 + 4 + method.length + 4 + path.length + 4 + request.body().length;
    ByteBuffer out = ByteBuffer.allocate(4 + size).putInt(size).putLong(id).put(REQUEST);
    put(out, method);
    put(out, path);
    put(out, request.body());
    return out.flip();
  }

  static ByteBuffer response(long id, Response response) {
    int size = 8 + 1 + 4 + 4 + 4 + response.body().length;
    ByteBuffer out = ByteBuffer.allocate(4 + size).putInt(size).putLong(id).put(RESPONSE);
    out.putInt(response.status()).putInt(response.retryAfterS());
    put(out, response.body());
    return out.flip();
  }

  /** Reads a frame without its length; a malformed one throws and ends the link. */
  static Frame read(ByteBuffer in) {
    long id = in.getLong();
    byte type = in.get();
    if (type == REQUEST) {
      String method = new String(take(in), StandardCharsets.UTF_8);
      String path = new String(take(in), StandardCharsets.UTF_8);
      return new Frame(id, new Request(method, path, take(in)), null);
    }
    if (type == RESPONSE) {
      int status = in.getInt();
      int retry = in.getInt();
      return new Frame(id, null, new Response(status, take(in), retry));
    }
    throw new IllegalArgumentException("frame type " + type);
  }

  private static void put(ByteBuffer out, byte[] bytes) {
    out.putInt(bytes.length).put(bytes);
  }

  private static byte[] take(ByteBuffer in) {
    int length = in.getInt();
    if (length < 0 || length > in.remaining()) {
      throw new IllegalArgumentException("length " + length);
    }
    byte[] out = new byte[length];
    in.get(out);
    return out;
  }
}
