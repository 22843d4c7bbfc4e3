package lupinwood.node;

/** What the machine reads off itself; NaN for what it can't tell. */
public record Gauges(double coreUse, double wantingCore, double memoryShare, double connections) {
    public static final Gauges UNKNOWN = new Gauges(Double.NaN, Double.NaN, Double.NaN, Double.NaN);
}
