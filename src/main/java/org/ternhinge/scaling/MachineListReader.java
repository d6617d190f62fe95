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

/**
 * Reads the cloud's list of machines page by page, periodically. Guarded by the controller's lock.
 */
final class MachineListReader {

  /** Receives complete listings, under the controller's lock. */
  @FunctionalInterface
  interface Listener {
    /**
     * A listing is complete.
     *
     * @param startedAt when the request for its first page was made
     */
    void listed(List<ListedMachine> listing, MonotonicTime startedAt);
  }

  /** Machines in one page. */
  private static final int PAGE_SIZE = 500;

  /**
   * Seconds of waiting for the rate limit after which a page gets the priority of provision
   * requests. Only a listing shows machines that are gone or unexpected, so a long sequence of
   * provision requests must not delay it further.
   */
  private static final double PRIORITY_AFTER_S = 2;

  private final Cloud cloud;
  private final Clock clock;
  private final LeadershipExecutor executor;
  private final Listener listener;
  private final double intervalS;

  /** The machines in the pages of the current listing so far. */
  private final List<ListedMachine> listing = new ArrayList<>();

  private MonotonicTime startedAt;

  /** When the current page was first requested. */
  private MonotonicTime pageDueSince;

  /**
   * Creates a reader that has not started.
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

  /** Starts a listing now, and periodically from then on. */
  void start() {
    listing.clear();
    startedAt = clock.now();
    nextPage(null);
  }

  /** Reads the page after a machine, or the first page where this is null. */
  private void nextPage(MachineId after) {
    pageDueSince = clock.now();
    readPage(after);
  }

  private void readPage(MachineId after) {
    boolean delayed = clock.now().secondsSince(pageDueSince) > PRIORITY_AFTER_S;
    RequestPriority priority = delayed ? RequestPriority.ATTEMPT : RequestPriority.QUERY;
    executor.whenAnswered(
        cloud.list(after, PAGE_SIZE, priority), outcome -> pageRead(after, outcome));
  }

  /**
   * A page that the rate limit held back is requested again soon. With few requests per second the
   * second page is never permitted at once, so a listing that started anew each time would never be
   * complete. After any other failure the next listing starts anew.
   */
  private void pageRead(MachineId after, Outcome<ListedMachine.Page> outcome) {
    if (RetryPolicy.isRateLimited(outcome)) {
      executor.later(RetryPolicy.RATE_LIMITED_DELAY_S, () -> readPage(after));
      return;
    }
    if (outcome instanceof Outcome.Applied<ListedMachine.Page> applied) {
      ListedMachine.Page page = applied.value();
      listing.addAll(page.machines());
      if (page.more() && !page.machines().isEmpty()) {
        nextPage(page.machines().get(page.machines().size() - 1).machine());
        return;
      }
      listener.listed(listing, startedAt);
    }
    executor.later(intervalS, this::start);
  }
}
