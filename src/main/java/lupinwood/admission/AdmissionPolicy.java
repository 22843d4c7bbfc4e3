package lupinwood.admission;

import java.util.Map;

/**
 * The deciding side of one machine: events come in by these calls, decisions leave through {@link
 * ServerActions}. Not thread-safe: one thread makes all calls, also those on the listeners.
 */
public interface AdmissionPolicy {
    /**
     * A request was read; it is owed one final answer.
     *
     * @return what hears of everything that happens to the request later
     */
    RequestListener admit(Request request);

    /**
     * The settings changed, in entries that may change while the node runs. Open requests keep the
     * times under which they arrived.
     *
     * @param settings the platform's, whole, by its own names
     */
    void updateSettings(Map<String, String> settings);

    /** The machine will be stopped after this long: a graceful shutdown begins. */
    void drain(NanoDuration untilStop);

    /** A wake-up that was asked for is due, or the resource usage was read anew. */
    void wake(ResourceUsage resourceUsage);

    /** All events of this moment have been told: decide what runs, calls and is rejected. */
    void decide();
}
