package org.ternhinge.wire;

/**
 * The body of the 421 answer that redirects a worker to another controller node.
 *
 * @param node name of the node
 */
public record Redirect(String node) {
  /** The redirect as JSON. */
  public byte[] write() {
    return Json.bytes(Json.object().put("tilkynna_til", node));
  }
}
