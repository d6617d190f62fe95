package org.ternhinge.model;

/** A TCP address by number. */
public record Endpoint(String host, int port) {

  /** Reads {@code 10.0.0.1:8080}. */
  public static Endpoint parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("not host:port: " + text);
    }
    int port;
    try {
      port = Integer.parseInt(text.substring(colon + 1));
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("not host:port: " + text);
    }
    if (port < 1 || port > 65535) {
      throw new IllegalArgumentException("port out of range: " + text);
    }
    return new Endpoint(text.substring(0, colon), port);
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
