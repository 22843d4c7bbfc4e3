package lupinwood.cluster;

/** Where a node runs. */
public record Site(String region, String zone) {
    @Override
    public String toString() {
        return region + "/" + zone;
    }
}
