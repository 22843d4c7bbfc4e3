package lupinwood.consensus;

import com.google.gson.TypeAdapter;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import com.google.gson.stream.JsonWriter;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/** Converts an enum's constants by a table of wire names. An unknown name is read as null. */
final class EnumAdapter<T> extends TypeAdapter<T> {
    private final Map<T, String> names;
    private final Map<String, T> constants = new HashMap<>();

    EnumAdapter(Map<T, String> names) {
        this.names = names;
        names.forEach((constant, name) -> constants.put(name, constant));
    }

    @Override
    public void write(JsonWriter out, T constant) throws IOException {
        out.value(constant == null ? null : names.get(constant));
    }

    @Override
    public T read(JsonReader in) throws IOException {
        if (in.peek() == JsonToken.NULL) {
            in.nextNull();
            return null;
        }
        return constants.get(in.nextString());
    }
}
