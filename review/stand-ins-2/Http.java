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
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP servers and calls of the stand-ins, on loopback alone. */
final class Http {
  /** An answer; status 0 where none came. */
  record Answer(int status, String body) {
    Map<String, Object> object() {
      return Json.object(body);
    }
  }

  /** A call to a stand-in. */
  record Call(String method, String path, Map<String, String> query, String body) {}

  interface Handler {
    /** Answers a call; null closes the connection without an answer. */
    Answer answer(Call call) throws Exception;
  }

  private static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          action -> {
            Thread thread = new Thread(action);
            thread.setDaemon(true);
            return thread;
          });

  private static final HttpClient CLIENT =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .executor(THREADS)
          .connectTimeout(Duration.ofMillis(1500))
          .build();

  private Http() {}

  static HttpServer serve(Handler handler) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 512);
    server.setExecutor(THREADS);
    server.createContext("/", exchange -> handle(exchange, handler));
    server.start();
    return server;
  }

  static String address(HttpServer server) {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  private static void handle(HttpExchange exchange, Handler handler) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    Map<String, String> query = new HashMap<>();
    String raw = exchange.getRequestURI().getQuery();
    for (String part : raw == null ? new String[0] : raw.split("&")) {
      int eq = part.indexOf('=');
      query.put(part.substring(0, eq), part.substring(eq + 1));
    }
    Answer answer;
    try {
      answer =
          handler.answer(
              new Call(
                  exchange.getRequestMethod(),
                  exchange.getRequestURI().getPath(),
                  query,
                  new String(body, StandardCharsets.UTF_8)));
    } catch (IllegalArgumentException | ClassCastException | NullPointerException e) {
      answer = new Answer(400, "{\"error\":\"malformed\"}");
    } catch (Exception e) {
      answer = null;
    }
    if (answer == null) {
      exchange.close();
      return;
    }
    byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(answer.status(), bytes.length == 0 ? -1 : bytes.length);
    try (OutputStream out = exchange.getResponseBody()) {
      out.write(bytes);
    }
  }

  static Answer call(String method, String address, String path, String body, double timeoutS) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(Duration.ofMillis((long) (timeoutS * 1000)))
            .method(
                method,
                body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofString(body))
            .build();
    try {
      HttpResponse<String> response =
          CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
      return new Answer(response.statusCode(), response.body());
    } catch (IOException e) {
      return new Answer(0, "");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Answer(0, "");
    }
  }

  static void start(Runnable action) {
    THREADS.execute(action);
  }
}
