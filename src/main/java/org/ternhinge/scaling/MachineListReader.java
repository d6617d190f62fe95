package org.ternhinge.scaling;

import java.util.ArrayList;
import java.util.List;
import org.ternhinge.cloud.Cloud;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.Clock;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Outcome;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.term.LeadershipExecutor;
import org.ternhinge.wire.ListedMachine;

/** Periodically reads the cloud's machine list, page by page. Guarded by the controller's lock. */
final class MachineListReader {

  /** Receives complete listings while the controller's lock is held. */
  @FunctionalInterface
  interface Listener {
    /**
     * Handles a complete listing.
     *
     * @param startedAt when the first page was requested
     */
    void onListing(List<ListedMachine> listing, MonotonicTime startedAt);
  }

  /** Maximum number of machines per page. */
  private static final int PAGE_SIZE = 500;

  /**
   * Seconds of waiting for the rate limit after which a page request is raised to the priority of
   * provision requests. Listings are the only source that reveals missing and unexpected machines,
   * so a burst of provision requests must not delay them further.
   */
  private static final double PRIORITY_RAISE_DELAY_S = 2;

  private final Cloud cloud;
  private final Clock clock;
  private final LeadershipExecutor executor;
  private final Listener listener;
  private final double intervalS;

  /** Machines read so far for the current listing. */
  private final List<ListedMachine> listing = new ArrayList<>();

  private MonotonicTime startedAt;

  /** When the current page was first requested, retries excluded. */
  private MonotonicTime pageFirstRequestedAt;

  /**
   * Creates a reader that is not started.
   *
   * @param intervalS seconds from the end of one listing to the start of the next
   */
  MachineListReader(LeadershipContext context, double intervalS, Listener listener) {
    this.cloud = context.services().cloud();
    this.clock = context.services().clock();
    this.executor = context.executor();
    this.intervalS = intervalS;
    this.listener = listener;
  }

  /** Starts a listing now and repeats it periodically. */
  void start() {
    listing.clear();
    startedAt = clock.now();
    requestPage(null);
  }

  /** Requests the page that follows a machine, or the first page if {@code after} is null. */
  private void requestPage(MachineId after) {
    pageFirstRequestedAt = clock.now();
    sendPageRequest(after);
  }

  private void sendPageRequest(MachineId after) {
    boolean delayed = clock.now().secondsSince(pageFirstRequestedAt) > PRIORITY_RAISE_DELAY_S;
    RequestPriority priority = delayed ? RequestPriority.ATTEMPT : RequestPriority.QUERY;
    executor.whenAnswered(
        cloud.list(after, PAGE_SIZE, priority), outcome -> handlePage(after, outcome));
  }

  /**
   * Handles the answer to a page request. A rate-limited page is retried after a short delay: at a
   * low request rate the second page is never permitted immediately, so a listing that restarted
   * each time would never complete. Any other failure abandons the listing, and the next one starts
   * over.
   */
  private void handlePage(MachineId after, Outcome<ListedMachine.Page> outcome) {
    if (RetryPolicy.isRateLimited(outcome)) {
      executor.schedule(RetryPolicy.RATE_LIMITED_DELAY_S, () -> sendPageRequest(after));
      return;
    }
    if (outcome instanceof Outcome.Applied<ListedMachine.Page> applied) {
      ListedMachine.Page page = applied.value();
      listing.addAll(page.machines());
      if (page.more() && !page.machines().isEmpty()) {
        requestPage(page.machines().get(page.machines().size() - 1).machine());
        return;
      }
      listener.onListing(listing, startedAt);
    }
    executor.schedule(intervalS, this::start);
  }
}
