package lupinwood.consensus;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import lupinwood.cluster.HeartbeatReply;
import lupinwood.cluster.NodeReport;
import lupinwood.log.Log;

/**
 * Follows the shared configuration that the consensus group wants this node to run: fetches it by
 * its digest, checks it on request, and applies it, one operation at a time. A rejected
 * configuration isn't tried again until the consensus group wants another one. Confined to the
 * cluster's task loop.
 */
final class SharedConfigFollower {
    private static final int MAX_RETAINED_TEXTS = 3;

    private final ConfigApplier configApplier;
    private final Consumer<Runnable> loop;
    private final Consumer<String> fetch;
    private final Log log;
    private final Map<String, String> texts = new HashMap<>();
    private String runningDigest;
    private NodeReport.ConfigCheck lastCheck;
    private String rejectedDigest;
    private boolean busy;

    /**
     * @param loop runs a task on the cluster's task loop
     * @param fetch requests the text of a digest from a voter
     */
    SharedConfigFollower(
            ConfigApplier configApplier, Consumer<Runnable> loop, Consumer<String> fetch, Log log) {
        this.configApplier = configApplier;
        this.loop = loop;
        this.fetch = fetch;
        this.log = log;
        runningDigest = configApplier.runs();
    }

    /**
     * Starts the next operation towards what the consensus group last wanted. Called repeatedly.
     */
    void follow(HeartbeatReply.DesiredState desiredState) {
        if (desiredState == null || busy) {
            return;
        }
        boolean mustApply =
                !desiredState.configDigest().equals(runningDigest)
                        && !desiredState.configDigest().equals(rejectedDigest);
        boolean mustCheck =
                !desiredState.digestToCheck().isEmpty()
                        && (lastCheck == null
                                || !lastCheck.digest().equals(desiredState.digestToCheck()));
        if (desiredState.configDigest().equals(runningDigest)) {
            rejectedDigest = null;
        }
        if (mustApply) {
            withText(
                    desiredState.configDigest(),
                    text ->
                            configApplier.take(
                                    desiredState.configDigest(),
                                    text,
                                    why ->
                                            loop.accept(
                                                    () ->
                                                            onApplied(
                                                                    desiredState.configDigest(),
                                                                    text,
                                                                    why))));
        } else if (mustCheck) {
            withText(
                    desiredState.digestToCheck(),
                    text -> check(desiredState.digestToCheck(), text));
        }
    }

    private void withText(String digest, Consumer<String> action) {
        String text = digest.isEmpty() ? "" : texts.get(digest);
        if (text == null) {
            fetch.accept(digest);
        } else {
            busy = true;
            action.accept(text);
        }
    }

    private void check(String digest, String text) {
        configApplier.check(
                digest,
                text,
                check ->
                        loop.accept(
                                () -> {
                                    busy = false;
                                    lastCheck = check;
                                    log.line(
                                            "fleet: shared configuration checked digest="
                                                    + check.digest()
                                                    + (check.usable()
                                                            ? check.needsRestart()
                                                                    ? " result=valid-after-restart"
                                                                    : " result=valid"
                                                            : " result=invalid reason="
                                                                    + check.why()));
                                }));
    }

    private void onApplied(String digest, String text, String why) {
        busy = false;
        if (why.isEmpty()) {
            runningDigest = digest;
            rejectedDigest = null;
        } else {
            rejectedDigest = digest;
            busy = true;
            check(digest, text); // tells the consensus group whether a restart would help
        }
        log.line(
                "fleet: "
                        + (why.isEmpty()
                                ? "shared configuration applied "
                                : "shared configuration not applied ")
                        + (digest.isEmpty() ? "own-files-only=true" : "digest=" + digest)
                        + (why.isEmpty() ? "" : " reason=" + why));
    }

    /** Stores a text that a voter sent. */
    void onFetched(String digest, String text) {
        if (texts.size() >= MAX_RETAINED_TEXTS) {
            texts.clear();
        }
        texts.put(digest, text);
    }

    String runningDigest() {
        return runningDigest;
    }

    /** The result of the latest check; null before the first. */
    NodeReport.ConfigCheck lastCheck() {
        return lastCheck;
    }
}
