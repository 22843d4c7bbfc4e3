package lupinwood.consensus;

import com.google.gson.JsonObject;
import io.microraft.RaftEndpoint;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.cluster.NodeName;

/**
 * Decides how a voter starts. A voter with an empty storage directory can't tell whether it never
 * voted or has lost its votes. A consensus group is therefore founded only while all configured
 * voters are reachable: each persists that it is a founder once all others are empty or founders
 * too, and starts its replica once all of them are founders. A voter with empty storage that then
 * learns that another voter has state {@link State#VOTES} has lost its storage: it never votes
 * under its old id again, and requests admission under a new one.
 *
 * <p>Not thread-safe: owned by the task loop thread of the cluster's membership.
 */
final class ClusterBootstrap {
    /**
     * A voter's storage: empty, that of a founder that hasn't voted yet, or that of a voter that
     * may have voted. A voter reports VOTES as soon as its replica has started, even before its
     * first term.
     */
    enum State {
        EMPTY,
        FOUNDS,
        VOTES
    }

    /** What this voter does next. */
    enum Step {
        WAIT,
        FOUND,
        START_REPLICA,
        REJOIN
    }

    private record Report(State state, MonotonicTime at) {}

    private final List<NodeName> others = new ArrayList<>();
    private final Map<NodeName, Report> reports = new HashMap<>();
    private final NanoDuration maxReportAge;
    private State state;

    ClusterBootstrap(NodeName self, List<NodeName> voters, State state, NanoDuration maxReportAge) {
        voters.stream().filter(name -> !name.equals(self)).forEach(others::add);
        this.state = state;
        this.maxReportAge = maxReportAge;
    }

    void onReport(NodeName from, State reported, MonotonicTime now) {
        if (others.contains(from)) {
            reports.put(from, new Report(reported, now));
        }
    }

    /**
     * The next step. After FOUND, the caller persists the founders and then calls {@link
     * #onFounded}.
     */
    Step step(MonotonicTime now) {
        if (reports.values().stream().anyMatch(report -> report.state() == State.VOTES)) {
            return state == State.EMPTY ? Step.REJOIN : Step.START_REPLICA;
        }
        boolean allFresh =
                others.stream()
                        .allMatch(
                                name ->
                                        reports.containsKey(name)
                                                && now.since(reports.get(name).at())
                                                                .compareTo(maxReportAge)
                                                        <= 0);
        if (!allFresh) {
            return Step.WAIT;
        }
        if (state == State.EMPTY) {
            return Step.FOUND;
        }
        return reports.values().stream().allMatch(report -> report.state() == State.FOUNDS)
                ? Step.START_REPLICA
                : Step.WAIT;
    }

    void onFounded() {
        state = State.FOUNDS;
    }

    State state() {
        return state;
    }

    /** The state of the voter whose storage was restored. */
    static State stateOf(RestoredRaftState restored) {
        if (restored == null) {
            return State.EMPTY;
        }
        boolean hasNeverVoted =
                restored.getTermPersistentState().getTerm() == 0
                        && restored.getLogEntries().isEmpty()
                        && restored.getSnapshotEntry() == null;
        return hasNeverVoted
                        && Voter.of(restored.getLocalEndpointPersistentState().getLocalEndpoint())
                                        .id()
                                        .indexOf('~')
                                < 0
                ? State.FOUNDS
                : State.VOTES;
    }

    /** Persists that this voter is a founder, and the group's initial members. */
    static void persistFounders(RaftStorage storage, NodeName self, List<NodeName> voters)
            throws IOException {
        Set<RaftEndpoint> founders = new LinkedHashSet<>();
        voters.forEach(name -> founders.add(new Voter(name.text())));
        storage.persistAndFlushLocalEndpoint(
                RaftCodec.MODEL_FACTORY
                        .createRaftEndpointPersistentStateBuilder()
                        .setLocalEndpoint(new Voter(self.text()))
                        .setVoting(true)
                        .build());
        storage.persistAndFlushInitialGroupMembers(
                RaftCodec.MODEL_FACTORY
                        .createRaftGroupMembersViewBuilder()
                        .setLogIndex(0)
                        .setMembers(founders)
                        .setVotingMembers(founders)
                        .build());
    }

    /**
     * The state in a message made by {@link #report}.
     *
     * @throws IllegalArgumentException if a newer version sent a state that this one doesn't know
     */
    static State reportedState(JsonObject message) {
        return ClusterJson.constantOf(State.class, message.get("state").getAsString());
    }

    static JsonObject query(NodeName self) {
        JsonObject message = new JsonObject();
        message.addProperty("k", "who");
        message.addProperty("from", self.text());
        return message;
    }

    static JsonObject report(NodeName self, State state) {
        JsonObject message = new JsonObject();
        message.addProperty("k", "am");
        message.addProperty("from", self.text());
        message.addProperty("state", ClusterJson.nameOf(state));
        return message;
    }
}
