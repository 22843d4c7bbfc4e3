package lupinwood.council;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import lupinwood.fleet.Book;
import lupinwood.fleet.Deed;

/** Deeds and pages as the texts that the council's log keeps. */
final class DeedText {
    /** A page is cut into pieces of so many characters, so that no message grows past its bound. */
    private static final int PIECE = 64 * 1024;

    private DeedText() {}

    static String of(Deed deed) {
        JsonObject text = FleetJson.tree(deed).getAsJsonObject();
        text.addProperty("deed", FleetJson.kindOf(deed));
        return text.toString();
    }

    /** Null for a deed of a newer version, which all of this version then pass over alike. */
    static Deed deed(String text) {
        JsonObject read = JsonParser.parseString(text).getAsJsonObject();
        Class<? extends Deed> kind = FleetJson.commandOf(read.get("deed").getAsString());
        return kind == null ? null : FleetJson.read(read, kind);
    }

    static List<Object> pieces(Book.Page page) {
        String text = FleetJson.gson().toJson(page);
        List<Object> pieces = new ArrayList<>();
        for (int from = 0; from < text.length(); from += PIECE) {
            pieces.add(text.substring(from, Math.min(text.length(), from + PIECE)));
        }
        return pieces;
    }

    static Book.Page page(List<Object> pieces) {
        StringBuilder text = new StringBuilder();
        pieces.forEach(text::append);
        return FleetJson.gson().fromJson(text.toString(), Book.Page.class);
    }
}
