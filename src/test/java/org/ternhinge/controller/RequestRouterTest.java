package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.model.JobId;
import org.ternhinge.request.RequestOrigin;

/** Which handler serves a request. */
class RequestRouterTest {
  private final RequestRouter router =
      new RequestRouter(
          List.of(
              new Route("POST", "/a"::equals, (request, origin, to) -> to.accept(answer(201))),
              new Route(
                  "GET", path -> path.startsWith("/"), (r, o, to) -> to.accept(answer(200)))));
  private int status;

  private static Response answer(int status) {
    return Response.of(status);
  }

  @ParameterizedTest(name = "{0} {1}: {2}")
  @CsvSource({
    "POST, /a, 201",
    "GET,  /a, 405", // the first route of the path decides
    "GET,  /b, 200",
    "POST, /b, 405",
    "GET,  b,  404",
  })
  void firstRouteOfPathServesRequest(String method, String path, int expected) {
    router.route(
        new Request(method, path, new byte[0]),
        RequestOrigin.CLIENT,
        response -> status = response.status());
    assertEquals(expected, status);
  }

  @ParameterizedTest(name = "{0}: queried {1}, cancelled {2}")
  @CsvSource({
    "/submissions/wk-1,               wk-1,",
    "/submissions/wk-1/cancel,            , wk-1",
    "/submissions/wk-1/cancel/cancel,     ,",
    "/submissions/cancel,                 ,",
    "/submissions//cancel,                ,",
    "/submissions/,                       ,",
    "/submissions,                        ,",
    "/submissions/job,                    ,",
    "/other/wk-1,                         ,",
  })
  void onlyWholePathIdentifiesJob(String path, String queried, String cancelled) {
    assertEquals(Optional.ofNullable(queried).map(JobId::new), JobPath.queriedJob(path));
    assertEquals(Optional.ofNullable(cancelled).map(JobId::new), JobPath.cancelledJob(path));
  }
}
