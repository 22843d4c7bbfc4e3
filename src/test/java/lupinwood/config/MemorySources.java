package lupinwood.config;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Texts by their names, without files. */
record MemorySources(Map<String, String> texts) implements Sources {
    static Config read(String text) {
        return Reader.read(new MemorySources(Map.of("a", text)), "a");
    }

    @Override
    public String resolve(String from, String included) {
        return included;
    }

    @Override
    public byte[] read(String name, int most) throws Unreadable {
        if (!texts.containsKey(name)) {
            throw new Unreadable("there is no file " + name);
        }
        byte[] bytes = texts.get(name).getBytes(StandardCharsets.UTF_8);
        if (bytes.length > most) {
            throw new Unreadable(
                    name + " is larger than the " + most + " bytes that are left for it");
        }
        return bytes;
    }
}
