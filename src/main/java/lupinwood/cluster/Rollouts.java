package lupinwood.cluster;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The rollouts in the cluster state: which shared configuration and which program version the fleet
 * runs, and which rollout is in progress. At most two versions of each are wanted at a time,
 * because the next rollout begins only when the present one has ended.
 *
 * <p>Part of {@link ClusterState}, and owned by the same thread.
 */
public final class Rollouts {
    /**
     * The longest configuration that is accepted, because it is sent in one message and stored by
     * each voter.
     */
    static final int MAX_TEXT_CHARS = 32 * 1024;

    /**
     * A shared configuration as it is stored; both parts are empty for none.
     *
     * @param digest of the text
     * @param text the whole configuration
     */
    public record ConfigText(String digest, String text) {}

    /**
     * The rollouts as they are stored and sent.
     *
     * @param goodConfig the configuration of the last rollout that succeeded
     * @param goodProgram the program version of the last rollout that succeeded; empty before the
     *     first
     * @param nextConfig the configuration that the present rollout introduces
     * @param rollout the one in progress; null while there is none
     * @param lastNumber the number of the newest rollout
     * @param baselineCounts the request counts of each node during the observation period before
     *     the rollout's first wave, by node name
     */
    public record Snapshot(
            ConfigText goodConfig,
            String goodProgram,
            ConfigText nextConfig,
            Rollout rollout,
            long lastNumber,
            Map<String, RequestCounts> baselineCounts) {}

    private static final ConfigText NONE = new ConfigText("", "");
    private ConfigText goodConfig = NONE;

    /** The version of the last program rollout that succeeded; empty before the first. */
    private String goodProgram = "";

    private ConfigText nextConfig = NONE;

    /** Null while none is in progress. */
    private Rollout rollout;

    private long lastNumber;

    /**
     * The request counts of each node during the observation period before the rollout's first
     * wave, by node name; the next holder of the rollout controller duty reads them here.
     */
    private Map<String, RequestCounts> baselineCounts = Map.of();

    /** Replaces the rollouts; without a snapshot, the present ones are kept. */
    void restore(Snapshot snapshot) {
        if (snapshot != null) { // null in the snapshot of an older version
            goodConfig = snapshot.goodConfig();
            goodProgram = snapshot.goodProgram();
            nextConfig = snapshot.nextConfig();
            rollout = snapshot.rollout();
            lastNumber = snapshot.lastNumber();
            baselineCounts = snapshot.baselineCounts();
        }
    }

    Snapshot snapshot() {
        return new Snapshot(
                goodConfig, goodProgram, nextConfig, rollout, lastNumber, baselineCounts);
    }

    Rollout rollout() {
        return rollout;
    }

    /** Why the rollout must not begin; empty where it may. */
    String reasonAgainst(Rollout.Kind kind, String to, String text) {
        if (rollout != null) {
            return rollout + " by " + rollout.by() + " is in progress and must end first";
        }
        if (text.length() > MAX_TEXT_CHARS) {
            return "the configuration has "
                    + text.length()
                    + " characters, and at most "
                    + MAX_TEXT_CHARS
                    + " are allowed";
        }
        if (to.equals(kind == Rollout.Kind.CONFIGURATION ? goodConfig.digest() : goodProgram)) {
            return "equivalent to what the fleet already runs: " + (to.isEmpty() ? "nothing" : to);
        }
        return "";
    }

    boolean begin(ClusterCommand.BeginRollout command) {
        if (!reasonAgainst(command.kind(), command.to(), command.text()).isEmpty()) {
            return false;
        }
        boolean isConfig = command.kind() == Rollout.Kind.CONFIGURATION;
        rollout =
                new Rollout(
                        ++lastNumber,
                        command.kind(),
                        isConfig ? goodConfig.digest() : goodProgram,
                        command.to(),
                        command.by(),
                        command.backsOnHalt(),
                        -1,
                        0,
                        List.of());
        nextConfig = isConfig ? new ConfigText(command.to(), command.text()) : NONE;
        return true;
    }

    /** Applies a decided wave: its nodes get the change, or during a rollback lose it. */
    boolean advance(ClusterCommand.AdvanceRollout command) {
        if (rollout == null
                || command.rollout() != rollout.number()
                || command.step() != rollout.steps() + 1
                || command.back() != rollout.isRollingBack()) {
            return false;
        }
        Set<NodeName> given = new LinkedHashSet<>(rollout.updatedNodes());
        boolean changed =
                rollout.isRollingBack()
                        ? given.removeAll(command.nodes())
                        : given.addAll(command.nodes());
        if (changed) {
            baselineCounts = command.past() == null ? baselineCounts : command.past();
            rollout =
                    rollout.with(
                            rollout.stepsBeforeRollback(), command.step(), new ArrayList<>(given));
        }
        return changed;
    }

    boolean rollBack(long rolloutNumber) {
        if (rollout == null || rollout.number() != rolloutNumber || rollout.isRollingBack()) {
            return false;
        }
        rollout = rollout.with(rollout.steps(), rollout.steps(), rollout.updatedNodes());
        return true;
    }

    boolean finish(ClusterCommand.FinishRollout command) {
        if (rollout == null
                || command.rollout() != rollout.number()
                || command.done() == (rollout.isRollingBack() || rollout.steps() == 0)
                || (!command.done() && !rollout.updatedNodes().isEmpty())) {
            return false;
        }
        if (command.done() && rollout.kind() == Rollout.Kind.CONFIGURATION) {
            goodConfig = nextConfig;
        } else if (command.done()) {
            goodProgram = rollout.to();
        }
        nextConfig = NONE;
        baselineCounts = Map.of();
        rollout = null;
        return true;
    }

    String goodDigest() {
        return goodConfig.digest();
    }

    Map<String, RequestCounts> baselineCounts() {
        return baselineCounts;
    }

    /** The digest of the shared configuration that a node is to use. */
    String wantedDigest(NodeName node) {
        boolean given =
                rollout != null
                        && rollout.kind() == Rollout.Kind.CONFIGURATION
                        && rollout.isUpdated(node);
        return given ? rollout.to() : goodConfig.digest();
    }

    /** The program version that a node is to be started with; empty where any will do. */
    String wantedProgram(NodeName node) {
        boolean isProgram = rollout != null && rollout.kind() == Rollout.Kind.PROGRAM;
        return isProgram && rollout.isUpdated(node) ? rollout.to() : goodProgram;
    }

    /** The digest of the shared configuration that nodes are to check now; empty for none. */
    String digestToCheck() {
        return rollout != null
                        && rollout.kind() == Rollout.Kind.CONFIGURATION
                        && !rollout.isRollingBack()
                ? rollout.to()
                : "";
    }

    /** The shared configuration of a digest; null where it isn't stored. */
    String text(String digest) {
        return digest.equals(goodConfig.digest())
                ? goodConfig.text()
                : digest.equals(nextConfig.digest()) ? nextConfig.text() : null;
    }
}
