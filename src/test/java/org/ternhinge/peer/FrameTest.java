package org.ternhinge.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.peer.Frame.RequestFrame;
import org.ternhinge.peer.Frame.ResponseFrame;

/** Encoding and decoding of frames, compared byte by byte with the version in production. */
class FrameTest {
  private static ByteBuffer body(ByteBuffer frame) {
    assertEquals(frame.remaining() - 4, frame.getInt());
    return frame;
  }

  @Test
  void encodedFramesAreDecodedAgain() {
    Request sent = new Request("POST", "/submissions/wk-1/cancel", new byte[] {1, 2});
    RequestFrame request =
        assertInstanceOf(
            RequestFrame.class, Frame.decode(body(new RequestFrame(7, sent).encode())));
    assertEquals(7, request.id());
    assertEquals(sent.path(), request.request().path());
    assertArrayEquals(sent.body(), request.request().body());
    ByteBuffer encodedResponse = new ResponseFrame(8, new Response(503, new byte[3], 2)).encode();
    ResponseFrame response =
        assertInstanceOf(ResponseFrame.class, Frame.decode(body(encodedResponse)));
    assertEquals(8, response.id());
    assertEquals(503, response.response().status());
    assertEquals(2, response.response().retryAfterS());
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 3, 9, 12, 20})
  void truncatedFrameIsRejected(int length) {
    ByteBuffer frame = body(new RequestFrame(7, Request.get("/submissions/wk-1")).encode());
    frame.limit(4 + length);
    assertThrows(RuntimeException.class, () -> Frame.decode(frame));
  }

  @Test
  void lengthBeyondTheFrameIsRejected() {
    ByteBuffer frame = ByteBuffer.allocate(17).putLong(1).put((byte) 2).putInt(200).putInt(0);
    frame.putInt(13, 1_000_000).position(0);
    assertThrows(RuntimeException.class, () -> Frame.decode(frame));
  }

  /**
   * Frames of the version in production: during an upgrade, controllers of both versions
   * communicate.
   */
  @ParameterizedTest(name = "{0} {1} {2}")
  @CsvSource(
      delimiter = '|',
      value = {
        "7 | POST | /submissions/wk-1/cancel | | 000000310000000000000007"
            + "0100000004504f5354000000182f7375626d697373696f6e732f776b2d312f63616e63656c00000000",
        "8 | GET | /submissions/wk-1 | | 000000290000000000000008"
            + "0100000003474554000000112f7375626d697373696f6e732f776b2d3100000000",
        "258 | POST | /submissions | {\"ref\":\"wk-1\"} | 000000330000000000000102"
            + "0100000004504f53540000000c2f7375626d697373696f6e73"
            + "0000000e7b22726566223a22776b2d31227d",
        // Written by commit d679fcc, which forwards jobs with dependencies to the leader.
        "259 | POST | /submissions | {\"ref\":\"wk-2\",\"bidur_eftir\":[\"wk-1\"]} | "
            + "0000004a00000000000001030100000004504f53540000000c2f7375626d697373696f6e73"
            + "000000257b22726566223a22776b2d32222c2262696475725f6566746972223a5b22776b2d31225d7d"
      })
  void requestEncodingMatchesThePreviousVersion(
      long id, String method, String path, String body, String hex) {
    byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
    ByteBuffer written = new RequestFrame(id, new Request(method, path, bytes)).encode();
    assertEquals(hex, hexOf(written));
    RequestFrame read = assertInstanceOf(RequestFrame.class, parse(hex));
    assertEquals(id, read.id());
    assertEquals(method, read.request().method());
    assertEquals(path, read.request().path());
    assertArrayEquals(bytes, read.request().body());
  }

  @ParameterizedTest(name = "{0} {1}")
  @CsvSource(
      delimiter = '|',
      value = {
        "8 | 200 | 0 | {\"ref\":\"wk-1\",\"astand\":\"queued\",\"done\":0,\"running\":0} | "
            + "0000004a000000000000000802000000c80000000000000035"
            + "7b22726566223a22776b2d31222c22617374616e64223a22717565756564222c"
            + "22646f6e65223a302c2272756e6e696e67223a307d",
        "9 | 503 | 2 | {} | 00000017000000000000000902000001f700000002000000027b7d",
        // Written by commit d679fcc.
        "10 | 201 | 0 | {\"ref\":\"wk-2\",\"astand\":\"queued\"} | "
            + "00000035000000000000000a02000000c90000000000000020"
            + "7b22726566223a22776b2d32222c22617374616e64223a22717565756564227d",
        "11 | 422 | 0 | {\"error\":\"wk-1 was never accepted\"} | "
            + "00000038000000000000000b02000001a60000000000000023"
            + "7b226572726f72223a22776b2d3120776173206e65766572206163636570746564227d",
        "12 | 503 | 1 | {} | 00000017000000000000000c02000001f700000001000000027b7d"
      })
  void responseEncodingMatchesThePreviousVersion(
      long id, int status, int retryAfterS, String body, String hex) {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    ByteBuffer written = new ResponseFrame(id, new Response(status, bytes, retryAfterS)).encode();
    assertEquals(hex, hexOf(written));
    ResponseFrame read = assertInstanceOf(ResponseFrame.class, parse(hex));
    assertEquals(id, read.id());
    assertEquals(status, read.response().status());
    assertEquals(retryAfterS, read.response().retryAfterS());
    assertArrayEquals(bytes, read.response().body());
  }

  private static Frame parse(String hex) {
    return Frame.decode(body(ByteBuffer.wrap(HexFormat.of().parseHex(hex))));
  }

  private static String hexOf(ByteBuffer frame) {
    byte[] bytes = new byte[frame.remaining()];
    frame.duplicate().get(bytes);
    return HexFormat.of().formatHex(bytes);
  }
}
