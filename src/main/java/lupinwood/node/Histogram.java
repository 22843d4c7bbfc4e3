package lupinwood.node;

/** A small histogram of positive figures in coarse bins, halved when it has taken in so many. */
public final class Histogram {
    private static final int BINS = 48;
    private static final double LOWEST = 1e-4;
    private static final double STEP = Math.sqrt(2);

    private final double[] bins = new double[BINS];
    private final double fullAt;
    private double weight;

    public Histogram(double fullAt) {
        this.fullAt = fullAt;
    }

    public void add(double figure) {
        double place = Math.log(Math.max(figure, LOWEST) / LOWEST) / Math.log(STEP);
        bins[Math.min(BINS - 1, (int) place)] += 1;
        weight += 1;
        if (weight >= fullAt) {
            for (int i = 0; i < BINS; i++) {
                bins[i] /= 2;
            }
            weight /= 2;
        }
    }

    public double weight() {
        return weight;
    }

    public double median() {
        double below = 0;
        for (int i = 0; i < BINS; i++) {
            below += bins[i];
            if (below * 2 >= weight) {
                return middle(i);
            }
        }
        return middle(BINS - 1);
    }

    public double mean() {
        double sum = 0;
        for (int i = 0; i < BINS; i++) {
            sum += bins[i] * middle(i);
        }
        return weight > 0 ? sum / weight : 0;
    }

    private static double middle(int bin) {
        return LOWEST * Math.pow(STEP, bin + 0.5);
    }
}
