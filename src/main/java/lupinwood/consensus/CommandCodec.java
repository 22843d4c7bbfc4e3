package lupinwood.consensus;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import lupinwood.cluster.ClusterCommand;
import lupinwood.cluster.ClusterState;

/**
 * Encodes commands as the operations of the consensus group's log, and snapshots of the cluster
 * state as MicroRaft's snapshot chunks, and decodes both.
 */
final class CommandCodec {
    /**
     * Snapshots are split into chunks of at most this many characters, so that no message exceeds
     * its bound.
     */
    private static final int MAX_CHUNK_CHARS = 64 * 1024;

    private CommandCodec() {}

    static String encode(ClusterCommand command) {
        JsonObject json = ClusterJson.toTree(command).getAsJsonObject();
        json.addProperty("deed", ClusterJson.commandNameOf(command));
        return json.toString();
    }

    /** Null for a command that only a newer version knows; every voter of this version skips it. */
    static ClusterCommand decode(String text) {
        JsonObject json = JsonParser.parseString(text).getAsJsonObject();
        Class<? extends ClusterCommand> type =
                ClusterJson.commandTypeOf(json.get("deed").getAsString());
        return type == null ? null : ClusterJson.read(json, type);
    }

    static List<Object> encodeSnapshot(ClusterState.Snapshot snapshot) {
        String text = ClusterJson.gson().toJson(snapshot);
        List<Object> chunks = new ArrayList<>();
        for (int from = 0; from < text.length(); from += MAX_CHUNK_CHARS) {
            chunks.add(text.substring(from, Math.min(text.length(), from + MAX_CHUNK_CHARS)));
        }
        return chunks;
    }

    static ClusterState.Snapshot decodeSnapshot(List<Object> chunks) {
        StringBuilder text = new StringBuilder();
        chunks.forEach(text::append);
        return ClusterJson.gson().fromJson(text.toString(), ClusterState.Snapshot.class);
    }
}
