package lupinwood.admission;

import java.util.Map;

/**
 * The deciding side of one machine. News comes in by these calls, results leave through {@link
 * Server}.
 */
public interface AdmissionPolicy {
    /** A request was read and is now held; it is owed one final answer. */
    RequestListener admit(Request request);

    /**
     * The settings changed, in entries that may change while the node runs. Requests in hand keep
     * the times that they came under.
     */
    void updateSettings(Map<String, String> settings);

    /** Notice that the machine will be stopped after this long. */
    void drain(NanoDuration until);

    /** A wake-up asked for is due, or the resource usage were read anew. */
    void wake(ResourceUsage resourceUsage);

    /** All that came in at this moment has been told: decide. */
    void decide();
}
