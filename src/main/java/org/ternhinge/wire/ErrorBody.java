package org.ternhinge.wire;

/**
 * The body of an answer that rejects a request permanently.
 *
 * @param message what is wrong with the request, for its sender to read
 */
public record ErrorBody(String message) {
  /** The body as JSON. */
  public byte[] write() {
    return Json.bytes(Json.object().put("error", message));
  }
}
