package lupinwood.experiment;

import java.nio.charset.StandardCharsets;
import lupinwood.config.Sources;

/** A configuration that stands in the program. */
record TextSource(String text) implements Sources {
    @Override
    public String resolve(String from, String included) {
        return included;
    }

    @Override
    public byte[] read(String name, int most) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
