package lupinwood.council;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lupinwood.fleet.Book;
import lupinwood.fleet.Deed;

/** Deeds and pages as the texts that the council's log keeps. */
final class DeedText {
    private static final Gson GSON = new Gson();
    private static final Map<String, Class<? extends Deed>> KINDS = new TreeMap<>();

    /** A page is cut into pieces of so many characters, so that no message grows past its bound. */
    private static final int PIECE = 64 * 1024;

    static {
        for (Class<? extends Deed> kind :
                List.of(
                        Deed.Found.class,
                        Deed.Join.class,
                        Deed.Leave.class,
                        Deed.Forget.class,
                        Deed.Give.class,
                        Deed.Free.class,
                        Deed.Keep.class,
                        Deed.Allow.class,
                        Deed.Back.class,
                        Deed.Halt.class,
                        Deed.Begin.class,
                        Deed.Step.class,
                        Deed.Turn.class,
                        Deed.Finish.class,
                        Deed.LetRest.class,
                        Deed.EndRest.class,
                        Deed.SetPlan.class,
                        Deed.Retire.class)) {
            KINDS.put(kind.getSimpleName(), kind);
        }
    }

    private DeedText() {}

    static String of(Deed deed) {
        JsonObject text = GSON.toJsonTree(deed).getAsJsonObject();
        text.addProperty("deed", deed.getClass().getSimpleName());
        return text.toString();
    }

    /** Null for a deed of a newer version, which all of this version then pass over alike. */
    static Deed deed(String text) {
        JsonObject read = JsonParser.parseString(text).getAsJsonObject();
        Class<? extends Deed> kind = KINDS.get(read.get("deed").getAsString());
        return kind == null ? null : GSON.fromJson(read, kind);
    }

    static List<Object> pieces(Book.Page page) {
        String text = GSON.toJson(page);
        List<Object> pieces = new ArrayList<>();
        for (int from = 0; from < text.length(); from += PIECE) {
            pieces.add(text.substring(from, Math.min(text.length(), from + PIECE)));
        }
        return pieces;
    }

    static Book.Page page(List<Object> pieces) {
        StringBuilder text = new StringBuilder();
        pieces.forEach(text::append);
        return GSON.fromJson(text.toString(), Book.Page.class);
    }
}
