package lupinwood.consensus;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import lupinwood.cluster.ClusterCommand;
import lupinwood.cluster.ClusterState;

/**
 * Encodes commands and snapshots as the texts of the consensus group's log and snapshots, and
 * decodes them.
 */
final class CommandCodec {
    /**
     * Snapshots are split into pieces of this many characters, so that no message exceeds its
     * bound.
     */
    private static final int PIECE_CHARS = 64 * 1024;

    private CommandCodec() {}

    static String encode(ClusterCommand command) {
        JsonObject json = ClusterJson.toTree(command).getAsJsonObject();
        json.addProperty("deed", ClusterJson.commandNameOf(command));
        return json.toString();
    }

    /**
     * Null for a command that only a newer version knows; all voters of this version skip it alike.
     */
    static ClusterCommand decode(String text) {
        JsonObject json = JsonParser.parseString(text).getAsJsonObject();
        Class<? extends ClusterCommand> type =
                ClusterJson.commandTypeOf(json.get("deed").getAsString());
        return type == null ? null : ClusterJson.read(json, type);
    }

    static List<Object> encodeSnapshot(ClusterState.Snapshot snapshot) {
        String text = ClusterJson.gson().toJson(snapshot);
        List<Object> pieces = new ArrayList<>();
        for (int from = 0; from < text.length(); from += PIECE_CHARS) {
            pieces.add(text.substring(from, Math.min(text.length(), from + PIECE_CHARS)));
        }
        return pieces;
    }

    static ClusterState.Snapshot decodeSnapshot(List<Object> pieces) {
        StringBuilder text = new StringBuilder();
        pieces.forEach(text::append);
        return ClusterJson.gson().fromJson(text.toString(), ClusterState.Snapshot.class);
    }
}
