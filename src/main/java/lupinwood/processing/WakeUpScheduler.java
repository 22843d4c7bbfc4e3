package lupinwood.processing;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.ResourceUsage;
import lupinwood.admission.TimerSet;

/**
 * Wakes the admission policy at the times that it asked for. Each wake-up carries resource usage
 * that was read recently or is queried first, if the executor replies in time; while the node
 * drains, it carries the last values, whatever their age.
 *
 * <p>Owned by the event loop thread.
 */
final class WakeUpScheduler {
    /**
     * How long a wake-up waits for resource usage. After that it happens with the core values
     * unknown and the last values of memory and connections.
     */
    private static final NanoDuration RESOURCE_USAGE_TIMEOUT = NanoDuration.ofSeconds(0.02);

    /**
     * Resource usage up to this age is used without a new query, because each query costs two
     * messages and two rounds of decisions.
     */
    private static final NanoDuration MAX_USAGE_AGE = NanoDuration.ofSeconds(0.02);

    private final List<String> resourceUsageNames;
    private final TimerService timers;
    private final Executor executor;
    private final QueryTagSequence queryTags;
    private final Supplier<MonotonicTime> clock;
    private final Consumer<ResourceUsage> wake;

    /**
     * The tag of the resource usage query that a wake-up waits for; 0, which no query has, if none.
     */
    private long awaitedUsageTag;

    private boolean draining;
    private TimerSet.Timer nextWakeUp;
    private TimerSet.Timer usageTimeout;
    private ResourceUsage resourceUsage = ResourceUsage.UNKNOWN;
    private MonotonicTime readAt = new MonotonicTime(0);

    WakeUpScheduler(
            List<String> resourceUsageNames,
            TimerService timers,
            Executor executor,
            QueryTagSequence queryTags,
            Supplier<MonotonicTime> clock,
            Consumer<ResourceUsage> wake) {
        this.resourceUsageNames = resourceUsageNames;
        this.timers = timers;
        this.executor = executor;
        this.queryTags = queryTags;
        this.clock = clock;
        this.wake = wake;
    }

    /** Schedules the only wake-up; a later call replaces the earlier one. */
    void schedule(MonotonicTime time) {
        timers.cancel(nextWakeUp);
        nextWakeUp = timers.schedule(time, this::onDue);
    }

    /**
     * From now on each wake-up happens at once with the last known resource usage, and a query is
     * sent for later ones. Otherwise, after a stall of the process, the last responses of a
     * draining node would wait for the query while timers that are due later (such as the one that
     * asks the upstreams to close) fire first.
     */
    void startDraining() {
        draining = true;
    }

    private void onDue() {
        // If the settings name no resource usage values there is nothing to wait for, and what is
        // due must not wait.
        if (draining && !resourceUsageNames.isEmpty()) {
            executor.askResourceUsage(queryTags.next());
        }
        if (resourceUsageNames.isEmpty()
                || draining
                || clock.get().since(readAt).compareTo(MAX_USAGE_AGE) < 0) {
            wake.accept(resourceUsage);
        } else if (awaitedUsageTag == 0) {
            awaitedUsageTag = queryTags.next();
            // Guards against a lost or slow executor connection: the policy's wake-ups must not
            // wait for it.
            usageTimeout =
                    timers.schedule(
                            clock.get().plus(RESOURCE_USAGE_TIMEOUT),
                            () ->
                                    wakeNow(
                                            new ResourceUsage(
                                                    Double.NaN,
                                                    Double.NaN,
                                                    resourceUsage.memoryShare(),
                                                    resourceUsage.connections())));
            executor.askResourceUsage(awaitedUsageTag);
        }
    }

    /** Handles the reply to the resource usage query with this tag. */
    void onResourceUsage(long queryTag, ResourceUsage usage) {
        resourceUsage = usage;
        readAt = clock.get();
        if (queryTag == awaitedUsageTag) {
            wakeNow(resourceUsage);
        }
    }

    private void wakeNow(ResourceUsage usage) {
        awaitedUsageTag = 0;
        timers.cancel(usageTimeout);
        wake.accept(usage);
    }
}
