package lupinwood.consensus;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Function;

/**
 * One encoding that leaves the process: the golden file with its bytes, the value that they encode,
 * and the functions that encode and decode it.
 */
record GoldenForm<T>(
        String file, T value, Function<T, String> encoder, Function<String, T> decoder) {
    static final Path DIRECTORY = Path.of("src/test/resources/golden/replicated");

    /** Converts the messages between voters, nodes and operators. */
    static final Gson JSON = ClusterJson.gson();

    /** A value that is encoded as a part of a message. */
    static <T> GoldenForm<T> inMessage(String file, T value, Class<T> type) {
        return new GoldenForm<>(
                file,
                value,
                object -> JSON.toJsonTree(object).toString(),
                text -> JSON.fromJson(JsonParser.parseString(text), type));
    }

    static JsonObject parseObject(String text) {
        return JsonParser.parseString(text).getAsJsonObject();
    }

    String encoded() {
        return encoder.apply(value);
    }

    T decode(String text) {
        return decoder.apply(text);
    }

    String golden() throws IOException {
        return Files.readString(DIRECTORY.resolve(file), StandardCharsets.UTF_8);
    }
}
