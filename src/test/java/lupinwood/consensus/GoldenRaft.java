package lupinwood.consensus;

import com.google.gson.JsonParser;
import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.RaftMessage;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Golden values: MicroRaft's messages, log entries and snapshot chunks. */
final class GoldenRaft {
    private static final RaftModelFactory FACTORY = RaftCodec.MODEL_FACTORY;
    private static final Voter SENDER = new Voter("n0");
    private static final int TERM = 7;

    private GoldenRaft() {}

    private static Set<RaftEndpoint> voters(String... ids) {
        Set<RaftEndpoint> voters = new LinkedHashSet<>();
        for (String id : ids) {
            voters.add(new Voter(id));
        }
        return voters;
    }

    static RaftGroupMembersView view() {
        return FACTORY.createRaftGroupMembersViewBuilder()
                .setLogIndex(12)
                .setMembers(voters("n0", "n1", "n2~5f"))
                .setVotingMembers(voters("n0", "n1"))
                .build();
    }

    static LogEntry entry(long index, Object operation) {
        return FACTORY.createLogEntryBuilder()
                .setIndex(index)
                .setTerm(TERM)
                .setOperation(operation)
                .build();
    }

    private static Object change(MembershipChangeMode mode) {
        return FACTORY.createUpdateRaftGroupMembersOpBuilder()
                .setMembers(voters("n0", "n1", "n2~5f"))
                .setVotingMembers(voters("n0", "n1"))
                .setEndpoint(new Voter("n2~5f"))
                .setMode(mode)
                .build();
    }

    static SnapshotChunk chunk(int number, int count, Object operation) {
        return FACTORY.createSnapshotChunkBuilder()
                .setIndex(40)
                .setTerm(TERM)
                .setOperation(operation)
                .setSnapshotChunkIndex(number)
                .setSnapshotChunkCount(count)
                .setGroupMembersView(view())
                .build();
    }

    private static GoldenForm<RaftMessage> message(String file, RaftMessage message) {
        return new GoldenForm<>(
                "raft-" + file + ".json",
                message,
                value -> RaftCodec.encode(value).toString(),
                text ->
                        RaftCodec.decodeMessage(
                                GoldenForm.parseObject(text), RaftReplica.GROUP_ID));
    }

    private static GoldenForm<LogEntry> stored(String file, LogEntry entry) {
        return new GoldenForm<>(
                "log-entry-" + file + ".json",
                entry,
                value -> RaftCodec.encode(value).toString(),
                text -> RaftCodec.decodeEntry(GoldenForm.parseObject(text)));
    }

    private static Collection<GoldenForm<RaftMessage>> installs() {
        return List.of(
                message("install-snapshot", install(chunk(1, 2, "{\"members\":[]}"))),
                message("install-snapshot-without-chunk", install(null)));
    }

    private static RaftMessage install(SnapshotChunk chunk) {
        return FACTORY.createInstallSnapshotRequestBuilder()
                .setGroupId(RaftReplica.GROUP_ID)
                .setSender(SENDER)
                .setTerm(TERM)
                .setSenderLeader(true)
                .setSnapshotTerm(6)
                .setSnapshotIndex(40)
                .setTotalSnapshotChunkCount(2)
                .setSnapshotChunk(chunk)
                .setSnapshottedMembers(voters("n0", "n1"))
                .setGroupMembersView(view())
                .setQuerySequenceNumber(3)
                .setFlowControlSequenceNumber(4)
                .build();
    }

    private static Collection<GoldenForm<RaftMessage>> appends() {
        String command = CommandCodec.encode(GoldenCommands.beforeSnapshot().get(1));
        List<LogEntry> entries =
                List.of(
                        entry(41, "term"),
                        entry(42, command),
                        entry(43, ""),
                        entry(44, change(MembershipChangeMode.ADD_LEARNER)));
        return List.of(
                message("append", append(entries)),
                message("append-empty", append(List.of())),
                message(
                        "append-success",
                        FACTORY.createAppendEntriesSuccessResponseBuilder()
                                .setGroupId(RaftReplica.GROUP_ID)
                                .setSender(SENDER)
                                .setTerm(TERM)
                                .setLastLogIndex(44)
                                .setQuerySequenceNumber(3)
                                .setFlowControlSequenceNumber(4)
                                .build()),
                message(
                        "append-failure",
                        FACTORY.createAppendEntriesFailureResponseBuilder()
                                .setGroupId(RaftReplica.GROUP_ID)
                                .setSender(SENDER)
                                .setTerm(TERM)
                                .setExpectedNextIndex(30)
                                .setQuerySequenceNumber(3)
                                .setFlowControlSequenceNumber(4)
                                .build()));
    }

    private static RaftMessage append(List<LogEntry> entries) {
        return FACTORY.createAppendEntriesRequestBuilder()
                .setGroupId(RaftReplica.GROUP_ID)
                .setSender(SENDER)
                .setTerm(TERM)
                .setPreviousLogTerm(6)
                .setPreviousLogIndex(40)
                .setCommitIndex(39)
                .setLogEntries(entries)
                .setQuerySequenceNumber(3)
                .setFlowControlSequenceNumber(4)
                .build();
    }

    private static Collection<GoldenForm<RaftMessage>> votes() {
        return List.of(
                message(
                        "pre-vote",
                        FACTORY.createPreVoteRequestBuilder()
                                .setGroupId(RaftReplica.GROUP_ID)
                                .setSender(SENDER)
                                .setTerm(TERM)
                                .setLastLogTerm(6)
                                .setLastLogIndex(44)
                                .build()),
                message(
                        "pre-vote-response",
                        FACTORY.createPreVoteResponseBuilder()
                                .setGroupId(RaftReplica.GROUP_ID)
                                .setSender(SENDER)
                                .setTerm(TERM)
                                .setGranted(true)
                                .build()),
                message(
                        "vote",
                        FACTORY.createVoteRequestBuilder()
                                .setGroupId(RaftReplica.GROUP_ID)
                                .setSender(SENDER)
                                .setTerm(TERM)
                                .setLastLogTerm(6)
                                .setLastLogIndex(44)
                                .setSticky(true)
                                .build()),
                message(
                        "vote-response",
                        FACTORY.createVoteResponseBuilder()
                                .setGroupId(RaftReplica.GROUP_ID)
                                .setSender(SENDER)
                                .setTerm(TERM)
                                .setGranted(false)
                                .build()),
                message(
                        "trigger-election",
                        FACTORY.createTriggerLeaderElectionRequestBuilder()
                                .setGroupId(RaftReplica.GROUP_ID)
                                .setSender(SENDER)
                                .setTerm(TERM)
                                .setLastLogTerm(6)
                                .setLastLogIndex(44)
                                .build()),
                message(
                        "install-snapshot-response",
                        FACTORY.createInstallSnapshotResponseBuilder()
                                .setGroupId(RaftReplica.GROUP_ID)
                                .setSender(SENDER)
                                .setTerm(TERM)
                                .setSnapshotIndex(40)
                                .setRequestedSnapshotChunkIndex(1)
                                .setQuerySequenceNumber(3)
                                .setFlowControlSequenceNumber(4)
                                .build()));
    }

    static List<GoldenForm<?>> forms() {
        List<GoldenForm<?>> forms = new ArrayList<>();
        forms.addAll(appends());
        forms.addAll(votes());
        forms.addAll(installs());
        forms.add(
                stored(
                        "command",
                        entry(42, CommandCodec.encode(GoldenCommands.beforeSnapshot().get(1)))));
        int modeNumber = 0;
        for (MembershipChangeMode mode : MembershipChangeMode.values()) {
            forms.add(stored("membership-" + modeNumber++, entry(43, change(mode))));
        }
        forms.add(
                new GoldenForm<>(
                        "snapshot-chunk.json",
                        chunk(0, 1, "{\"members\":[]}"),
                        value -> RaftCodec.encode(value).toString(),
                        text -> RaftCodec.decodeChunk(GoldenForm.parseObject(text))));
        forms.add(
                new GoldenForm<>(
                        "group-members.json",
                        view(),
                        value -> RaftCodec.encode(value).toString(),
                        text -> RaftCodec.decodeView(JsonParser.parseString(text))));
        return forms;
    }
}
