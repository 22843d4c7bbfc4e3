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
 * How a voter becomes one. With an empty folder it can't know whether it never voted or has lost
 * what it promised. So a consensus group is founded only while all voters named are there: each
 * writes down that it founds once all others are empty or founding too, and takes part once all
 * have. Whoever then hears of a term from another, and has nothing itself, has lost its folder: it
 * never votes as who it was, and asks to be let in under a new id.
 */
final class ClusterBootstrap {
    /** What another voter is: nothing kept, founding, or with a term behind it. */
    enum State {
        EMPTY,
        FOUNDS,
        VOTES
    }

    /** What this voter is to do. */
    enum Step {
        WAIT,
        FOUND,
        TAKE_PART,
        COME_ANEW
    }

    private record Statement(State state, MonotonicTime at) {}

    private final List<NodeName> others = new ArrayList<>();
    private final Map<NodeName, Statement> words = new HashMap<>();
    private final NanoDuration fresh;
    private State state;

    ClusterBootstrap(NodeName self, List<NodeName> voters, State state, NanoDuration fresh) {
        voters.stream().filter(name -> !name.equals(self)).forEach(others::add);
        this.state = state;
        this.fresh = fresh;
    }

    void heard(NodeName from, State reported, MonotonicTime now) {
        if (others.contains(from)) {
            words.put(from, new Statement(reported, now));
        }
    }

    /** What is to be done now; FOUND is to be followed by {@link #founded} once it is durable. */
    Step step(MonotonicTime now) {
        if (words.values().stream().anyMatch(word -> word.state() == State.VOTES)) {
            return state == State.EMPTY ? Step.COME_ANEW : Step.TAKE_PART;
        }
        boolean all =
                others.stream()
                        .allMatch(
                                name ->
                                        words.containsKey(name)
                                                && now.since(words.get(name).at()).compareTo(fresh)
                                                        <= 0);
        if (!all) {
            return Step.WAIT;
        }
        if (state == State.EMPTY) {
            return Step.FOUND;
        }
        return words.values().stream().allMatch(word -> word.state() == State.FOUNDS)
                ? Step.TAKE_PART
                : Step.WAIT;
    }

    void founded() {
        state = State.FOUNDS;
    }

    State state() {
        return state;
    }

    /** What a folder says of its voter. */
    static State of(RestoredRaftState restored) {
        if (restored == null) {
            return State.EMPTY;
        }
        boolean never =
                restored.getTermPersistentState().getTerm() == 0
                        && restored.getLogEntries().isEmpty()
                        && restored.getSnapshotEntry() == null;
        return never
                        && Voter.of(restored.getLocalEndpointPersistentState().getLocalEndpoint())
                                        .id()
                                        .indexOf('~')
                                < 0
                ? State.FOUNDS
                : State.VOTES;
    }

    /** Writes down that this voter is one of the founders. */
    static void write(RaftStorage storage, NodeName self, List<NodeName> voters)
            throws IOException {
        Set<RaftEndpoint> all = new LinkedHashSet<>();
        voters.forEach(name -> all.add(new Voter(name.text())));
        storage.persistAndFlushLocalEndpoint(
                RaftCodec.MODEL
                        .createRaftEndpointPersistentStateBuilder()
                        .setLocalEndpoint(new Voter(self.text()))
                        .setVoting(true)
                        .build());
        storage.persistAndFlushInitialGroupMembers(
                RaftCodec.MODEL
                        .createRaftGroupMembersViewBuilder()
                        .setLogIndex(0)
                        .setMembers(all)
                        .setVotingMembers(all)
                        .build());
    }

    /**
     * What another voter told by {@link #tell}.
     *
     * @throws IllegalArgumentException where it is of a newer version
     */
    static State reported(JsonObject text) {
        return ClusterJson.constantOf(State.class, text.get("state").getAsString());
    }

    static JsonObject ask(NodeName self) {
        JsonObject text = new JsonObject();
        text.addProperty("k", "who");
        text.addProperty("from", self.text());
        return text;
    }

    static JsonObject tell(NodeName self, State state) {
        JsonObject text = new JsonObject();
        text.addProperty("k", "am");
        text.addProperty("from", self.text());
        text.addProperty("state", ClusterJson.nameOf(state));
        return text;
    }
}
