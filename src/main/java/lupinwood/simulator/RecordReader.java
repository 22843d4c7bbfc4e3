package lupinwood.simulator;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Reads one record's fields in order; what was left off at the end reads as zero. */
final class RecordReader {
    private final ByteBuffer bytes;

    RecordReader(ByteBuffer bytes) {
        this.bytes = bytes;
    }

    int u8() {
        return has(1) ? bytes.get() & 0xff : 0;
    }

    int u16() {
        return has(2) ? bytes.getShort() & 0xffff : 0;
    }

    long u32() {
        return has(4) ? bytes.getInt() & 0xffffffffL : 0;
    }

    long u64() {
        return has(8) ? bytes.getLong() : 0;
    }

    float f32() {
        return has(4) ? bytes.getFloat() : 0;
    }

    String text() throws MalformedFrame {
        long length = u32();
        if (length > bytes.remaining()) {
            throw new MalformedFrame(
                    "a text of " + length + " bytes, " + bytes.remaining() + " are left");
        }
        byte[] text = new byte[(int) length];
        bytes.get(text);
        return new String(text, StandardCharsets.UTF_8);
    }

    private boolean has(int size) {
        if (bytes.remaining() >= size) {
            return true;
        }
        bytes.position(bytes.limit());
        return false;
    }
}
