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
 * Encodes MicroRaft's messages and log entries as JSON, and decodes them. Operations are texts of
 * {@link CommandCodec}, except for MicroRaft's own membership changes, the operation "term" that
 * begins a term, and the empty operation of a query. A message that can't be decoded gives an
 * {@link IllegalArgumentException}.
 */
final class RaftCodec {
    static final RaftModelFactory MODEL_FACTORY = new DefaultRaftModelFactory();

    private RaftCodec() {}

    // ---- messages ----

    static JsonObject encode(RaftMessage message) {
        JsonObject json = new JsonObject();
        json.addProperty("from", id(message.getSender()));
        json.addProperty("term", message.getTerm());
        if (message instanceof AppendEntriesRequest request) {
            addKind(
                    json,
                    "append",
                    "prevTerm",
                    request.getPreviousLogTerm(),
                    "prev",
                    request.getPreviousLogIndex(),
                    "commit",
                    request.getCommitIndex(),
                    "query",
                    request.getQuerySequenceNumber(),
                    "flow",
                    request.getFlowControlSequenceNumber());
            JsonArray entries = new JsonArray();
            request.getLogEntries().forEach(entry -> entries.add(encode(entry)));
            json.add("entries", entries);
        } else if (message instanceof AppendEntriesSuccessResponse response) {
            addKind(
                    json,
                    "appended",
                    "last",
                    response.getLastLogIndex(),
                    "query",
                    response.getQuerySequenceNumber(),
                    "flow",
                    response.getFlowControlSequenceNumber());
        } else if (message instanceof AppendEntriesFailureResponse response) {
            addKind(
                    json,
                    "unfit",
                    "next",
                    response.getExpectedNextIndex(),
                    "query",
                    response.getQuerySequenceNumber(),
                    "flow",
                    response.getFlowControlSequenceNumber());
        } else if (message instanceof PreVoteRequest request) {
            addKind(
                    json,
                    "prevote",
                    "lastTerm",
                    request.getLastLogTerm(),
                    "last",
                    request.getLastLogIndex());
        } else if (message instanceof PreVoteResponse response) {
            addKind(json, "prevoted", "yes", response.isGranted() ? 1 : 0);
        } else if (message instanceof VoteRequest request) {
            addKind(
                    json,
                    "vote",
                    "lastTerm",
                    request.getLastLogTerm(),
                    "last",
                    request.getLastLogIndex(),
                    "sticky",
                    request.isSticky() ? 1 : 0);
        } else if (message instanceof VoteResponse response) {
            addKind(json, "voted", "yes", response.isGranted() ? 1 : 0);
        } else if (message instanceof TriggerLeaderElectionRequest request) {
            addKind(
                    json,
                    "elect",
                    "lastTerm",
                    request.getLastLogTerm(),
                    "last",
                    request.getLastLogIndex());
        } else if (message instanceof InstallSnapshotRequest request) {
            addKind(
                    json,
                    "install",
                    "leader",
                    request.isSenderLeader() ? 1 : 0,
                    "snapTerm",
                    request.getSnapshotTerm(),
                    "snap",
                    request.getSnapshotIndex(),
                    "chunks",
                    request.getTotalSnapshotChunkCount(),
                    "query",
                    request.getQuerySequenceNumber(),
                    "flow",
                    request.getFlowControlSequenceNumber());
            json.add(
                    "chunk",
                    request.getSnapshotChunk() == null
                            ? JsonNull.INSTANCE
                            : encode(request.getSnapshotChunk()));
            json.add("members", ids(request.getSnapshottedMembers()));
            json.add("view", encode(request.getGroupMembersView()));
        } else if (message instanceof InstallSnapshotResponse response) {
            addKind(
                    json,
                    "installed",
                    "snap",
                    response.getSnapshotIndex(),
                    "chunk",
                    response.getRequestedSnapshotChunkIndex(),
                    "query",
                    response.getQuerySequenceNumber(),
                    "flow",
                    response.getFlowControlSequenceNumber());
        } else {
            throw new IllegalArgumentException(
                    "unknown message type: " + message.getClass().getSimpleName());
        }
        return json;
    }

    private static void addKind(JsonObject json, String kind, Object... pairs) {
        json.addProperty("kind", kind);
        for (int i = 0; i < pairs.length; i += 2) {
            json.addProperty((String) pairs[i], (Number) pairs[i + 1]);
        }
    }

    static RaftMessage decodeMessage(JsonObject json, Object group) {
        try {
            return decode(json, group);
        } catch (RuntimeException e) {
            throw new IllegalArgumentException("consensus message cannot be read: " + e);
        }
    }

    private static RaftMessage decode(JsonObject json, Object group) {
        Voter from = new Voter(json.get("from").getAsString());
        int term = intValue(json, "term");
        return switch (json.get("kind").getAsString()) {
            case "append" ->
                    MODEL_FACTORY
                            .createAppendEntriesRequestBuilder()
                            .setGroupId(group)
                            .setSender(from)
                            .setTerm(term)
                            .setPreviousLogTerm(intValue(json, "prevTerm"))
                            .setPreviousLogIndex(longValue(json, "prev"))
                            .setCommitIndex(longValue(json, "commit"))
                            .setLogEntries(decodeEntries(json.getAsJsonArray("entries")))
                            .setQuerySequenceNumber(longValue(json, "query"))
                            .setFlowControlSequenceNumber(longValue(json, "flow"))
                            .build();
            case "appended" ->
                    MODEL_FACTORY
                            .createAppendEntriesSuccessResponseBuilder()
                            .setGroupId(group)
                            .setSender(from)
                            .setTerm(term)
                            .setLastLogIndex(longValue(json, "last"))
                            .setQuerySequenceNumber(longValue(json, "query"))
                            .setFlowControlSequenceNumber(longValue(json, "flow"))
                            .build();
            case "unfit" ->
                    MODEL_FACTORY
                            .createAppendEntriesFailureResponseBuilder()
                            .setGroupId(group)
                            .setSender(from)
                            .setTerm(term)
                            .setExpectedNextIndex(longValue(json, "next"))
                            .setQuerySequenceNumber(longValue(json, "query"))
                            .setFlowControlSequenceNumber(longValue(json, "flow"))
                            .build();
            case "prevote" ->
                    MODEL_FACTORY
                            .createPreVoteRequestBuilder()
                            .setGroupId(group)
                            .setSender(from)
                            .setTerm(term)
                            .setLastLogTerm(intValue(json, "lastTerm"))
                            .setLastLogIndex(longValue(json, "last"))
                            .build();
            case "prevoted" ->
                    MODEL_FACTORY
                            .createPreVoteResponseBuilder()
                            .setGroupId(group)
                            .setSender(from)
                            .setTerm(term)
                            .setGranted(intValue(json, "yes") == 1)
                            .build();
            case "vote" ->
                    MODEL_FACTORY
                            .createVoteRequestBuilder()
                            .setGroupId(group)
                            .setSender(from)
                            .setTerm(term)
                            .setLastLogTerm(intValue(json, "lastTerm"))
                            .setLastLogIndex(longValue(json, "last"))
                            .setSticky(intValue(json, "sticky") == 1)
                            .build();
            case "voted" ->
                    MODEL_FACTORY
                            .createVoteResponseBuilder()
                            .setGroupId(group)
                            .setSender(from)
                            .setTerm(term)
                            .setGranted(intValue(json, "yes") == 1)
                            .build();
            case "elect" ->
                    MODEL_FACTORY
                            .createTriggerLeaderElectionRequestBuilder()
                            .setGroupId(group)
                            .setSender(from)
                            .setTerm(term)
                            .setLastLogTerm(intValue(json, "lastTerm"))
                            .setLastLogIndex(longValue(json, "last"))
                            .build();
            case "install" ->
                    MODEL_FACTORY
                            .createInstallSnapshotRequestBuilder()
                            .setGroupId(group)
                            .setSender(from)
                            .setTerm(term)
                            .setSenderLeader(intValue(json, "leader") == 1)
                            .setSnapshotTerm(intValue(json, "snapTerm"))
                            .setSnapshotIndex(longValue(json, "snap"))
                            .setTotalSnapshotChunkCount(intValue(json, "chunks"))
                            .setSnapshotChunk(
                                    json.get("chunk").isJsonNull()
                                            ? null
                                            : decodeChunk(json.getAsJsonObject("chunk")))
                            .setSnapshottedMembers(decodeVoters(json.getAsJsonArray("members")))
                            .setGroupMembersView(decodeView(json.get("view")))
                            .setQuerySequenceNumber(longValue(json, "query"))
                            .setFlowControlSequenceNumber(longValue(json, "flow"))
                            .build();
            case "installed" ->
                    MODEL_FACTORY
                            .createInstallSnapshotResponseBuilder()
                            .setGroupId(group)
                            .setSender(from)
                            .setTerm(term)
                            .setSnapshotIndex(longValue(json, "snap"))
                            .setRequestedSnapshotChunkIndex(intValue(json, "chunk"))
                            .setQuerySequenceNumber(longValue(json, "query"))
                            .setFlowControlSequenceNumber(longValue(json, "flow"))
                            .build();
            default -> throw new IllegalArgumentException("unknown message kind");
        };
    }

    // ---- entries ----

    static JsonObject encode(LogEntry entry) {
        return encodeEntry(entry);
    }

    private static JsonObject encodeEntry(BaseLogEntry entry) {
        JsonObject json = new JsonObject();
        json.addProperty("i", entry.getIndex());
        json.addProperty("t", entry.getTerm());
        if (entry.getOperation() instanceof UpdateRaftGroupMembersOp membershipChange) {
            JsonObject changeJson = new JsonObject();
            changeJson.add("members", ids(membershipChange.getMembers()));
            changeJson.add("voting", ids(membershipChange.getVotingMembers()));
            changeJson.addProperty("one", id(membershipChange.getEndpoint()));
            changeJson.addProperty("mode", membershipChange.getMode().name());
            json.add("voters", changeJson);
        } else {
            json.addProperty("op", (String) entry.getOperation());
        }
        return json;
    }

    static LogEntry decodeEntry(JsonObject json) {
        return MODEL_FACTORY
                .createLogEntryBuilder()
                .setIndex(longValue(json, "i"))
                .setTerm(intValue(json, "t"))
                .setOperation(decodeOperation(json))
                .build();
    }

    private static Object decodeOperation(JsonObject json) {
        if (!json.has("voters")) {
            return json.get("op").getAsString();
        }
        JsonObject changeJson = json.getAsJsonObject("voters");
        return MODEL_FACTORY
                .createUpdateRaftGroupMembersOpBuilder()
                .setMembers(decodeVoters(changeJson.getAsJsonArray("members")))
                .setVotingMembers(decodeVoters(changeJson.getAsJsonArray("voting")))
                .setEndpoint(new Voter(changeJson.get("one").getAsString()))
                .setMode(MembershipChangeMode.valueOf(changeJson.get("mode").getAsString()))
                .build();
    }

    private static List<LogEntry> decodeEntries(JsonArray array) {
        List<LogEntry> entries = new ArrayList<>();
        array.forEach(json -> entries.add(decodeEntry(json.getAsJsonObject())));
        return entries;
    }

    static JsonObject encode(SnapshotChunk chunk) {
        JsonObject json = encodeEntry(chunk);
        json.addProperty("n", chunk.getSnapshotChunkIndex());
        json.addProperty("of", chunk.getSnapshotChunkCount());
        json.add("view", encode(chunk.getGroupMembersView()));
        return json;
    }

    static SnapshotChunk decodeChunk(JsonObject json) {
        return MODEL_FACTORY
                .createSnapshotChunkBuilder()
                .setIndex(longValue(json, "i"))
                .setTerm(intValue(json, "t"))
                .setOperation(decodeOperation(json))
                .setSnapshotChunkIndex(intValue(json, "n"))
                .setSnapshotChunkCount(intValue(json, "of"))
                .setGroupMembersView(decodeView(json.get("view")))
                .build();
    }

    static JsonElement encode(RaftGroupMembersView view) {
        if (view == null) {
            return JsonNull.INSTANCE;
        }
        JsonObject json = new JsonObject();
        json.addProperty("at", view.getLogIndex());
        json.add("members", ids(view.getMembers()));
        json.add("voting", ids(view.getVotingMembers()));
        return json;
    }

    static RaftGroupMembersView decodeView(JsonElement element) {
        if (element.isJsonNull()) {
            return null;
        }
        JsonObject json = element.getAsJsonObject();
        return MODEL_FACTORY
                .createRaftGroupMembersViewBuilder()
                .setLogIndex(longValue(json, "at"))
                .setMembers(decodeVoters(json.getAsJsonArray("members")))
                .setVotingMembers(decodeVoters(json.getAsJsonArray("voting")))
                .build();
    }

    // ---- helpers ----

    static String id(RaftEndpoint endpoint) {
        return endpoint == null ? null : Voter.of(endpoint).id();
    }

    private static JsonArray ids(Collection<RaftEndpoint> voters) {
        JsonArray ids = new JsonArray();
        voters.forEach(voter -> ids.add(id(voter)));
        return ids;
    }

    private static Set<RaftEndpoint> decodeVoters(JsonArray ids) {
        Set<RaftEndpoint> voters = new LinkedHashSet<>();
        ids.forEach(id -> voters.add(new Voter(id.getAsString())));
        return voters;
    }

    private static int intValue(JsonObject json, String name) {
        return json.get(name).getAsInt();
    }

    private static long longValue(JsonObject json, String name) {
        return json.get(name).getAsLong();
    }
}
