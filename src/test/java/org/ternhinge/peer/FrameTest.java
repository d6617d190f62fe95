package org.ternhinge.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.ByteBuffer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;

class FrameTest {
  private static ByteBuffer body(ByteBuffer frame) {
    assertEquals(frame.remaining() - 4, frame.getInt());
    return frame;
  }

  @Test
  void requestsAndResponsesSurviveTheLink() {
    Request asked = new Request("POST", "/submissions/wk-1/cancel", new byte[] {1, 2});
    Frame request = Frame.read(body(Frame.request(7, asked)));
    assertEquals(7, request.id());
    assertEquals(asked.path(), request.request().path());
    assertArrayEquals(asked.body(), request.request().body());
    Frame response = Frame.read(body(Frame.response(8, new Response(503, new byte[3], 2))));
    assertEquals(8, response.id());
    assertEquals(503, response.response().status());
    assertEquals(2, response.response().retryAfterS());
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 3, 9, 12, 20})
  void cutOffFramesThrow(int length) {
    ByteBuffer frame = body(Frame.request(7, new Request("GET", "/submissions/wk-1", new byte[0])));
    frame.limit(4 + length);
    assertThrows(RuntimeException.class, () -> Frame.read(frame));
  }

  @Test
  void aLengthThatLiesThrows() {
    ByteBuffer frame = ByteBuffer.allocate(17).putLong(1).put((byte) 2).putInt(200).putInt(0);
    frame.putInt(13, 1_000_000).position(0);
    assertThrows(RuntimeException.class, () -> Frame.read(frame));
  }
}
