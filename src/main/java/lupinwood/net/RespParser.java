package lupinwood.net;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads RESP arrays of bulk strings, however they are split; lengths are bounded before anything is
 * kept.
 */
final class RespParser implements Parser<List<byte[]>> {
    private static final int MOST_ITEMS = 8;
    private static final int MOST_DIGITS = 10;

    /** Twice the body that the protocol allows, so that a body too long still gets its answer. */
    private static final int MOST_BYTES = 4096;

    /** What an array takes beside its bytes, with its place in the list. */
    private static final int ARRAY_OVERHEAD_BYTES = 24;

    private enum At {
        ARRAY,
        BULK,
        BYTES,
        END
    }

    private final List<byte[]> items = new ArrayList<>();
    private final StringBuilder digits = new StringBuilder();
    private At at = At.ARRAY;
    private int wanted;
    private byte[] item;
    private int filled;
    private int heldBytes;

    /** The memory that the message takes that is not complete yet, in bytes. */
    int heldBytes() {
        return heldBytes;
    }

    /** Whether a message is begun and not whole. */
    boolean isMidway() {
        return at != At.ARRAY || !digits.isEmpty();
    }

    @Override
    public List<byte[]> next(ByteBuffer in) throws ProtocolException {
        while (in.hasRemaining()) {
            switch (at) {
                case ARRAY -> {
                    int count = number(in, '*', MOST_ITEMS);
                    if (count == 0) {
                        throw new ProtocolException("an empty array");
                    }
                    if (count > 0) {
                        wanted = count;
                        at = At.BULK;
                    }
                }
                case BULK -> {
                    int length = number(in, '$', MOST_BYTES);
                    if (length >= 0) {
                        item = new byte[length];
                        heldBytes += ARRAY_OVERHEAD_BYTES + length;
                        filled = 0;
                        at = At.BYTES;
                    }
                }
                case BYTES -> {
                    int part = Math.min(in.remaining(), item.length - filled);
                    in.get(item, filled, part);
                    filled += part;
                    if (filled == item.length) {
                        at = At.END;
                    }
                }
                default -> {
                    byte expected = (byte) (filled == item.length ? '\r' : '\n');
                    if (in.get() != expected) {
                        throw new ProtocolException("a string runs past its length");
                    }
                    if (expected == '\r') {
                        filled++;
                    } else {
                        items.add(item);
                        at = At.BULK;
                        if (items.size() == wanted) {
                            at = At.ARRAY;
                            List<byte[]> whole = List.copyOf(items);
                            items.clear();
                            heldBytes = 0;
                            return whole;
                        }
                    }
                }
            }
        }
        return null;
    }

    /** A line of one sign and a number, or -1 where more bytes are needed. */
    private int number(ByteBuffer in, char sign, int most) throws ProtocolException {
        while (in.hasRemaining()) {
            char c = (char) (in.get() & 0xff);
            if (digits.isEmpty()
                    ? c != sign
                    : digits.charAt(digits.length() - 1) == '\r'
                            ? c != '\n'
                            : c == '\r' ? digits.length() < 2 : c < '0' || c > '9') {
                throw new ProtocolException("no " + sign + " and number where one should stand");
            }
            if (c == '\n') {
                long value = Long.parseLong(digits.substring(1, digits.length() - 1));
                digits.setLength(0);
                if (value > most) {
                    throw new ProtocolException("a length of " + value + ", " + most + " at most");
                }
                return (int) value;
            }
            digits.append(c);
            if (digits.length() > MOST_DIGITS) {
                throw new ProtocolException("a length with too many digits");
            }
        }
        return -1;
    }
}
