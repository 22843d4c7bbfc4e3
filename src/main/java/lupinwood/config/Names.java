package lupinwood.config;

import java.util.Collection;

/** Which name was probably meant. */
final class Names {
    private static final int MOST_CHARS = 60;

    private Names() {}

    /**
     * The one that differs least, if it differs by no more than a third of its letters; or null.
     */
    static String nearest(String written, Collection<String> known) {
        String best = null;
        int least = Integer.MAX_VALUE;
        for (String name : known) {
            int distance =
                    written.length() > MOST_CHARS ? Integer.MAX_VALUE : distance(written, name);
            if (distance < least && distance <= Math.max(1, name.length() / 3)) {
                least = distance;
                best = name;
            }
        }
        return best;
    }

    /** How many letters to change, add, take out or swap with the next. */
    static int distance(String a, String b) {
        int[][] table = new int[a.length() + 1][b.length() + 1];
        for (int i = 0; i <= a.length(); i++) {
            for (int j = 0; j <= b.length(); j++) {
                if (i == 0 || j == 0) {
                    table[i][j] = i + j;
                    continue;
                }
                int same = a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1;
                table[i][j] =
                        Math.min(
                                table[i - 1][j - 1] + same,
                                Math.min(table[i - 1][j], table[i][j - 1]) + 1);
                if (i > 1
                        && j > 1
                        && a.charAt(i - 1) == b.charAt(j - 2)
                        && a.charAt(i - 2) == b.charAt(j - 1)) {
                    table[i][j] = Math.min(table[i][j], table[i - 2][j - 2] + 1);
                }
            }
        }
        return table[a.length()][b.length()];
    }
}
