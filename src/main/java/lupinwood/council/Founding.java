package lupinwood.council;

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
import lupinwood.fleet.NodeName;
import lupinwood.node.Moment;
import lupinwood.node.Span;

/**
 * How a voter becomes one. With an empty folder it can't know whether it never voted or has lost
 * what it promised. So a council is founded only while all voters named are there: each writes down
 * that it founds once all others are empty or founding too, and takes part once all have. Whoever
 * then hears of a term from another, and has nothing itself, has lost its folder: it never votes as
 * who it was, and asks to be let in under a new id.
 */
final class Founding {
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

    private record Word(State state, Moment at) {}

    private final List<NodeName> others = new ArrayList<>();
    private final Map<NodeName, Word> words = new HashMap<>();
    private final Span fresh;
    private State state;

    Founding(NodeName self, List<NodeName> voters, State state, Span fresh) {
        voters.stream().filter(name -> !name.equals(self)).forEach(others::add);
        this.state = state;
        this.fresh = fresh;
    }

    void heard(NodeName from, State told, Moment now) {
        if (others.contains(from)) {
            words.put(from, new Word(told, now));
        }
    }

    /** What is to be done now; FOUND is to be followed by {@link #founded} once it is durable. */
    Step step(Moment now) {
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
    static State of(RestoredRaftState kept) {
        if (kept == null) {
            return State.EMPTY;
        }
        boolean never =
                kept.getTermPersistentState().getTerm() == 0
                        && kept.getLogEntries().isEmpty()
                        && kept.getSnapshotEntry() == null;
        return never
                        && Voter.of(kept.getLocalEndpointPersistentState().getLocalEndpoint())
                                        .id()
                                        .indexOf('~')
                                < 0
                ? State.FOUNDS
                : State.VOTES;
    }

    /** Writes down that this voter is one of the founders. */
    static void write(Folder folder, NodeName self, List<NodeName> voters) throws IOException {
        Set<RaftEndpoint> all = new LinkedHashSet<>();
        voters.forEach(name -> all.add(new Voter(name.text())));
        folder.persistAndFlushLocalEndpoint(
                RaftText.MODEL
                        .createRaftEndpointPersistentStateBuilder()
                        .setLocalEndpoint(new Voter(self.text()))
                        .setVoting(true)
                        .build());
        folder.persistAndFlushInitialGroupMembers(
                RaftText.MODEL
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
    static State told(JsonObject text) {
        return FleetJson.constantOf(State.class, text.get("state").getAsString());
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
        text.addProperty("state", FleetJson.nameOf(state));
        return text;
    }
}
