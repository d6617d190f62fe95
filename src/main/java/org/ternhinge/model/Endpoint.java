package org.ternhinge.model;

/**
 * A TCP address.
 *
 * @param host IP address or host name
 * @param port port number; 0 to listen on any free port
 */
public record Endpoint(String host, int port) {
  private static final int MAX_PORT = 65_535;

  /**
   * Parses an address such as {@code 10.0.0.1:8080}.
   *
   * @throws IllegalArgumentException when the text is not host:port or the port is out of range
   */
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
    if (port < 1 || port > MAX_PORT) {
      throw new IllegalArgumentException("port out of range: " + text);
    }
    return new Endpoint(text.substring(0, colon), port);
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
