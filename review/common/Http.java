import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP with JSON bodies, on loopback. */
final class Http {
  static final ObjectMapper JSON = new ObjectMapper();
  static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          action -> {
            Thread thread = new Thread(action);
            thread.setDaemon(true);
            return thread;
          });
  private static final HttpClient CLIENT =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).executor(THREADS).build();

  static {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.setProperty("sun.net.httpserver.maxIdleConnections", "4000");
  }

  private Http() {}

  /** An answer; status 0 if none arrived in time. */
  record Answer(int status, JsonNode body) {
    String text(String field) {
      return body == null ? "" : body.path(field).asText("");
    }
  }

  interface Handler {
    Answer handle(String method, String path, Map<String, String> query, JsonNode body)
        throws Exception;
  }

  static ObjectNode object() {
    return JSON.createObjectNode();
  }

  /** Starts a server on a free port. */
  static HttpServer serve(Handler handler) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
    server.setExecutor(THREADS);
    server.createContext("/", exchange -> answer(exchange, handler));
    server.start();
    return server;
  }

  private static void answer(HttpExchange exchange, Handler handler) throws IOException {
    byte[] bytes = exchange.getRequestBody().readAllBytes();
    Map<String, String> query = new HashMap<>();
    String text = exchange.getRequestURI().getQuery();
    for (String part : text == null ? new String[0] : text.split("&")) {
      int equals = part.indexOf('=');
      query.put(part.substring(0, equals), part.substring(equals + 1));
    }
    Answer answer;
    try {
      JsonNode body = bytes.length == 0 ? object() : JSON.readTree(bytes);
      answer =
          handler.handle(
              exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, body);
    } catch (Exception e) {
      answer = new Answer(400, object().put("error", e.toString()));
    }
    if (answer == null) {
      exchange.close();
      return;
    }
    byte[] out = JSON.writeValueAsBytes(answer.body());
    exchange.sendResponseHeaders(answer.status(), out.length);
    try (OutputStream stream = exchange.getResponseBody()) {
      stream.write(out);
    }
  }

  static Answer call(String method, int port, String path, byte[] body, double timeoutS) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .timeout(Duration.ofMillis((long) (timeoutS * 1000)))
            .method(
                method,
                body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofByteArray(body))
            .build();
    try {
      HttpResponse<byte[]> response =
          CLIENT.send(request, HttpResponse.BodyHandlers.ofByteArray());
      JsonNode node;
      try {
        node = JSON.readTree(response.body());
      } catch (IOException e) {
        node = object();
      }
      return new Answer(response.statusCode(), node);
    } catch (IOException e) {
      return new Answer(0, object().put("failure", e.toString()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Answer(0, object());
    }
  }
}
