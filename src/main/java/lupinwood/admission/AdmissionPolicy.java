package lupinwood.admission;

import java.util.Map;

/**
 * Decides what one node admits, runs, rejects and fails. Events come in through these methods,
 * decisions leave through {@link ServerActions}. Not thread-safe: one thread makes all calls,
 * including those on the listeners.
 */
public interface AdmissionPolicy {
    /**
     * Handles a request that was read. It gets exactly one final answer, or none if its client is
     * gone before.
     *
     * @return receives all later events of the request
     */
    RequestListener admit(Request request);

    /**
     * Applies changed settings. The caller ensures that only entries that may change while the node
     * runs differ from the present settings. Open requests keep the due times that they were given
     * on arrival.
     *
     * @param settings all settings, changed or not, by the names that the entries have in the
     *     configuration
     */
    void updateSettings(Map<String, String> settings);

    /** Begins the graceful shutdown of the node, which will be stopped after this duration. */
    void drain(NanoDuration timeUntilStop);

    /** Handles a requested wake-up that is due, or a new reading of the resource usage. */
    void wake(ResourceUsage resourceUsage);

    /**
     * Decides what runs, calls and is rejected, once all events of the present time were handed
     * over.
     */
    void decide();
}
