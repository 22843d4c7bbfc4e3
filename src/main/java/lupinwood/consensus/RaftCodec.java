package lupinwood.consensus;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonNull;
import com.google.gson.JsonObject;
import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.BaseLogEntry;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The library's messages and log entries as JSON, and back. Operations are our own texts, but for
 * the library's change of voters. What can't be read is told by an {@link
 * IllegalArgumentException}.
 */
final class RaftCodec {
    static final RaftModelFactory MODEL = new DefaultRaftModelFactory();

    private RaftCodec() {}

    // ---- messages ----

    static JsonObject of(RaftMessage message) {
        JsonObject text = new JsonObject();
        text.addProperty("from", id(message.getSender()));
        text.addProperty("term", message.getTerm());
        if (message instanceof AppendEntriesRequest one) {
            kind(
                    text,
                    "append",
                    "prevTerm",
                    one.getPreviousLogTerm(),
                    "prev",
                    one.getPreviousLogIndex(),
                    "commit",
                    one.getCommitIndex(),
                    "query",
                    one.getQuerySequenceNumber(),
                    "flow",
                    one.getFlowControlSequenceNumber());
            JsonArray entries = new JsonArray();
            one.getLogEntries().forEach(entry -> entries.add(of(entry)));
            text.add("entries", entries);
        } else if (message instanceof AppendEntriesSuccessResponse one) {
            kind(
                    text,
                    "appended",
                    "last",
                    one.getLastLogIndex(),
                    "query",
                    one.getQuerySequenceNumber(),
                    "flow",
                    one.getFlowControlSequenceNumber());
        } else if (message instanceof AppendEntriesFailureResponse one) {
            kind(
                    text,
                    "unfit",
                    "next",
                    one.getExpectedNextIndex(),
                    "query",
                    one.getQuerySequenceNumber(),
                    "flow",
                    one.getFlowControlSequenceNumber());
        } else if (message instanceof PreVoteRequest one) {
            kind(text, "prevote", "lastTerm", one.getLastLogTerm(), "last", one.getLastLogIndex());
        } else if (message instanceof PreVoteResponse one) {
            kind(text, "prevoted", "yes", one.isGranted() ? 1 : 0);
        } else if (message instanceof VoteRequest one) {
            kind(
                    text,
                    "vote",
                    "lastTerm",
                    one.getLastLogTerm(),
                    "last",
                    one.getLastLogIndex(),
                    "sticky",
                    one.isSticky() ? 1 : 0);
        } else if (message instanceof VoteResponse one) {
            kind(text, "voted", "yes", one.isGranted() ? 1 : 0);
        } else if (message instanceof TriggerLeaderElectionRequest one) {
            kind(text, "elect", "lastTerm", one.getLastLogTerm(), "last", one.getLastLogIndex());
        } else if (message instanceof InstallSnapshotRequest one) {
            kind(
                    text,
                    "install",
                    "leader",
                    one.isSenderLeader() ? 1 : 0,
                    "snapTerm",
                    one.getSnapshotTerm(),
                    "snap",
                    one.getSnapshotIndex(),
                    "chunks",
                    one.getTotalSnapshotChunkCount(),
                    "query",
                    one.getQuerySequenceNumber(),
                    "flow",
                    one.getFlowControlSequenceNumber());
            text.add(
                    "chunk",
                    one.getSnapshotChunk() == null
                            ? JsonNull.INSTANCE
                            : of(one.getSnapshotChunk()));
            text.add("members", ids(one.getSnapshottedMembers()));
            text.add("view", of(one.getGroupMembersView()));
        } else if (message instanceof InstallSnapshotResponse one) {
            kind(
                    text,
                    "installed",
                    "snap",
                    one.getSnapshotIndex(),
                    "chunk",
                    one.getRequestedSnapshotChunkIndex(),
                    "query",
                    one.getQuerySequenceNumber(),
                    "flow",
                    one.getFlowControlSequenceNumber());
        } else {
            throw new IllegalArgumentException(
                    "no such message: " + message.getClass().getSimpleName());
        }
        return text;
    }

    private static void kind(JsonObject text, String kind, Object... pairs) {
        text.addProperty("kind", kind);
        for (int i = 0; i < pairs.length; i += 2) {
            text.addProperty((String) pairs[i], (Number) pairs[i + 1]);
        }
    }

    static RaftMessage message(JsonObject text, Object group) {
        try {
            return read(text, group);
        } catch (RuntimeException e) {
            throw new IllegalArgumentException("a message of the council that can't be read: " + e);
        }
    }

    private static RaftMessage read(JsonObject text, Object group) {
        Voter from = new Voter(text.get("from").getAsString());
        int term = integer(text, "term");
        return switch (text.get("kind").getAsString()) {
            case "append" ->
                    MODEL.createAppendEntriesRequestBuilder()
                            .setGroupId(group)
                            .setSender(from)
                            .setTerm(term)
                            .setPreviousLogTerm(integer(text, "prevTerm"))
                            .setPreviousLogIndex(number(text, "prev"))
                            .setCommitIndex(number(text, "commit"))
                            .setLogEntries(entries(text.getAsJsonArray("entries")))
                            .setQuerySequenceNumber(number(text, "query"))
                            .setFlowControlSequenceNumber(number(text, "flow"))
                            .build();
            case "appended" ->
                    MODEL.createAppendEntriesSuccessResponseBuilder()
                            .setGroupId(group)
                            .setSender(from)
                            .setTerm(term)
                            .setLastLogIndex(number(text, "last"))
                            .setQuerySequenceNumber(number(text, "query"))
                            .setFlowControlSequenceNumber(number(text, "flow"))
                            .build();
            case "unfit" ->
                    MODEL.createAppendEntriesFailureResponseBuilder()
                            .setGroupId(group)
                            .setSender(from)
                            .setTerm(term)
                            .setExpectedNextIndex(number(text, "next"))
                            .setQuerySequenceNumber(number(text, "query"))
                            .setFlowControlSequenceNumber(number(text, "flow"))
                            .build();
            case "prevote" ->
                    MODEL.createPreVoteRequestBuilder()
                            .setGroupId(group)
                            .setSender(from)
                            .setTerm(term)
                            .setLastLogTerm(integer(text, "lastTerm"))
                            .setLastLogIndex(number(text, "last"))
                            .build();
            case "prevoted" ->
                    MODEL.createPreVoteResponseBuilder()
                            .setGroupId(group)
                            .setSender(from)
                            .setTerm(term)
                            .setGranted(integer(text, "yes") == 1)
                            .build();
            case "vote" ->
                    MODEL.createVoteRequestBuilder()
                            .setGroupId(group)
                            .setSender(from)
                            .setTerm(term)
                            .setLastLogTerm(integer(text, "lastTerm"))
                            .setLastLogIndex(number(text, "last"))
                            .setSticky(integer(text, "sticky") == 1)
                            .build();
            case "voted" ->
                    MODEL.createVoteResponseBuilder()
                            .setGroupId(group)
                            .setSender(from)
                            .setTerm(term)
                            .setGranted(integer(text, "yes") == 1)
                            .build();
            case "elect" ->
                    MODEL.createTriggerLeaderElectionRequestBuilder()
                            .setGroupId(group)
                            .setSender(from)
                            .setTerm(term)
                            .setLastLogTerm(integer(text, "lastTerm"))
                            .setLastLogIndex(number(text, "last"))
                            .build();
            case "install" ->
                    MODEL.createInstallSnapshotRequestBuilder()
                            .setGroupId(group)
                            .setSender(from)
                            .setTerm(term)
                            .setSenderLeader(integer(text, "leader") == 1)
                            .setSnapshotTerm(integer(text, "snapTerm"))
                            .setSnapshotIndex(number(text, "snap"))
                            .setTotalSnapshotChunkCount(integer(text, "chunks"))
                            .setSnapshotChunk(
                                    text.get("chunk").isJsonNull()
                                            ? null
                                            : chunk(text.getAsJsonObject("chunk")))
                            .setSnapshottedMembers(voters(text.getAsJsonArray("members")))
                            .setGroupMembersView(view(text.get("view")))
                            .setQuerySequenceNumber(number(text, "query"))
                            .setFlowControlSequenceNumber(number(text, "flow"))
                            .build();
            case "installed" ->
                    MODEL.createInstallSnapshotResponseBuilder()
                            .setGroupId(group)
                            .setSender(from)
                            .setTerm(term)
                            .setSnapshotIndex(number(text, "snap"))
                            .setRequestedSnapshotChunkIndex(integer(text, "chunk"))
                            .setQuerySequenceNumber(number(text, "query"))
                            .setFlowControlSequenceNumber(number(text, "flow"))
                            .build();
            default -> throw new IllegalArgumentException("no such kind");
        };
    }

    // ---- entries ----

    static JsonObject of(LogEntry entry) {
        return base(entry);
    }

    private static JsonObject base(BaseLogEntry entry) {
        JsonObject text = new JsonObject();
        text.addProperty("i", entry.getIndex());
        text.addProperty("t", entry.getTerm());
        if (entry.getOperation() instanceof UpdateRaftGroupMembersOp change) {
            JsonObject voters = new JsonObject();
            voters.add("members", ids(change.getMembers()));
            voters.add("voting", ids(change.getVotingMembers()));
            voters.addProperty("one", id(change.getEndpoint()));
            voters.addProperty("mode", change.getMode().name());
            text.add("voters", voters);
        } else {
            text.addProperty("op", (String) entry.getOperation());
        }
        return text;
    }

    static LogEntry entry(JsonObject text) {
        return MODEL.createLogEntryBuilder()
                .setIndex(number(text, "i"))
                .setTerm(integer(text, "t"))
                .setOperation(operation(text))
                .build();
    }

    private static Object operation(JsonObject text) {
        if (!text.has("voters")) {
            return text.get("op").getAsString();
        }
        JsonObject voters = text.getAsJsonObject("voters");
        return MODEL.createUpdateRaftGroupMembersOpBuilder()
                .setMembers(voters(voters.getAsJsonArray("members")))
                .setVotingMembers(voters(voters.getAsJsonArray("voting")))
                .setEndpoint(new Voter(voters.get("one").getAsString()))
                .setMode(MembershipChangeMode.valueOf(voters.get("mode").getAsString()))
                .build();
    }

    private static List<LogEntry> entries(JsonArray texts) {
        List<LogEntry> entries = new ArrayList<>();
        texts.forEach(text -> entries.add(entry(text.getAsJsonObject())));
        return entries;
    }

    static JsonObject of(SnapshotChunk chunk) {
        JsonObject text = base(chunk);
        text.addProperty("n", chunk.getSnapshotChunkIndex());
        text.addProperty("of", chunk.getSnapshotChunkCount());
        text.add("view", of(chunk.getGroupMembersView()));
        return text;
    }

    static SnapshotChunk chunk(JsonObject text) {
        return MODEL.createSnapshotChunkBuilder()
                .setIndex(number(text, "i"))
                .setTerm(integer(text, "t"))
                .setOperation(operation(text))
                .setSnapshotChunkIndex(integer(text, "n"))
                .setSnapshotChunkCount(integer(text, "of"))
                .setGroupMembersView(view(text.get("view")))
                .build();
    }

    static JsonElement of(RaftGroupMembersView view) {
        if (view == null) {
            return JsonNull.INSTANCE;
        }
        JsonObject text = new JsonObject();
        text.addProperty("at", view.getLogIndex());
        text.add("members", ids(view.getMembers()));
        text.add("voting", ids(view.getVotingMembers()));
        return text;
    }

    static RaftGroupMembersView view(JsonElement element) {
        if (element.isJsonNull()) {
            return null;
        }
        JsonObject text = element.getAsJsonObject();
        return MODEL.createRaftGroupMembersViewBuilder()
                .setLogIndex(number(text, "at"))
                .setMembers(voters(text.getAsJsonArray("members")))
                .setVotingMembers(voters(text.getAsJsonArray("voting")))
                .build();
    }

    // ---- small things ----

    static String id(RaftEndpoint endpoint) {
        return endpoint == null ? null : Voter.of(endpoint).id();
    }

    private static JsonArray ids(Collection<RaftEndpoint> voters) {
        JsonArray ids = new JsonArray();
        voters.forEach(voter -> ids.add(id(voter)));
        return ids;
    }

    private static Set<RaftEndpoint> voters(JsonArray ids) {
        Set<RaftEndpoint> voters = new LinkedHashSet<>();
        ids.forEach(id -> voters.add(new Voter(id.getAsString())));
        return voters;
    }

    private static int integer(JsonObject text, String name) {
        return text.get(name).getAsInt();
    }

    private static long number(JsonObject text, String name) {
        return text.get(name).getAsLong();
    }
}
