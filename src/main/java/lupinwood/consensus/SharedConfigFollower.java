package lupinwood.consensus;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import lupinwood.cluster.HeartbeatReply;
import lupinwood.cluster.NodeReport;
import lupinwood.log.Log;

/**
 * Follows the consensus group's word on the text that this node is to go by: has it fetched by its
 * digest, checked when asked, and taken; one thing at a time. A text that wasn't taken isn't tried
 * again until the consensus group wants another. Belongs to the fleet's loop.
 */
final class SharedConfigFollower {
    private static final int MAX_RETAINED = 3;

    private final ConfigApplier configApplier;
    private final Consumer<Runnable> loop;
    private final Consumer<String> fetch;
    private final Log log;
    private final Map<String, String> texts = new HashMap<>();
    private String runs;
    private NodeReport.ConfigCheck checked;
    private String notTaken;
    private boolean busy;

    /**
     * @param loop does a job on the fleet's loop
     * @param fetch asks a voter for the text of a digest
     */
    SharedConfigFollower(
            ConfigApplier configApplier, Consumer<Runnable> loop, Consumer<String> fetch, Log log) {
        this.configApplier = configApplier;
        this.loop = loop;
        this.fetch = fetch;
        this.log = log;
        runs = configApplier.runs();
    }

    /** What the consensus group last said; asked again and again. */
    void follow(HeartbeatReply.Wanted wanted) {
        if (wanted == null || busy) {
            return;
        }
        boolean takes = !wanted.runs().equals(runs) && !wanted.runs().equals(notTaken);
        boolean checks =
                !wanted.checks().isEmpty()
                        && (checked == null || !checked.digest().equals(wanted.checks()));
        if (wanted.runs().equals(runs)) {
            notTaken = null;
        }
        if (takes) {
            with(
                    wanted.runs(),
                    text ->
                            configApplier.take(
                                    wanted.runs(),
                                    text,
                                    why -> loop.accept(() -> taken(wanted.runs(), text, why))));
        } else if (checks) {
            with(wanted.checks(), text -> check(wanted.checks(), text));
        }
    }

    private void with(String digest, Consumer<String> job) {
        String text = digest.isEmpty() ? "" : texts.get(digest);
        if (text == null) {
            fetch.accept(digest);
        } else {
            busy = true;
            job.accept(text);
        }
    }

    private void check(String digest, String text) {
        configApplier.check(
                digest,
                text,
                reported ->
                        loop.accept(
                                () -> {
                                    busy = false;
                                    checked = reported;
                                    log.line(
                                            "fleet: the text "
                                                    + reported.digest()
                                                    + (reported.fits()
                                                            ? reported.restarts()
                                                                    ? " fits, and needs a restart"
                                                                    : " fits"
                                                            : " does not fit: " + reported.why()));
                                }));
    }

    private void taken(String digest, String text, String why) {
        busy = false;
        if (why.isEmpty()) {
            runs = digest;
            notTaken = null;
        } else {
            notTaken = digest;
            busy = true;
            check(digest, text); // so that the fleet hears whether a restart would do
        }
        log.line(
                "fleet: "
                        + (why.isEmpty() ? "goes by " : "does not go by ")
                        + (digest.isEmpty() ? "its own files alone" : "the text " + digest)
                        + (why.isEmpty() ? "" : ": " + why));
    }

    /** A voter sent it. */
    void fetched(String digest, String text) {
        if (texts.size() >= MAX_RETAINED) {
            texts.clear();
        }
        texts.put(digest, text);
    }

    String runs() {
        return runs;
    }

    /** Null before any. */
    NodeReport.ConfigCheck checked() {
        return checked;
    }
}
