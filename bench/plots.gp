# Draws one plot per scenario: goodput and the worst account share by policy, as
# medians over the seeds with minimum and maximum. Run by `make plots`:
#   gnuplot -e "csv='build/bench/policy.csv'; out='docs/plots'" bench/plots.gp
set datafile separator ","
set terminal svg size 900,420 font "sans,12" noenhanced
policies = "hickorystand round-robin least-outstanding static-split threshold fifo"
scenarios = system("tail -n +2 ".csv." | cut -d, -f1 | awk '!seen[$0]++'")
set style fill solid 0.6
set boxwidth 0.7
set xtics rotate by -25
set yrange [0:*]
unset key
set samples 6
do for [s in scenarios] {
  set output out."/".s.".svg"
  set multiplot layout 1,2 title s
  do for [column in "4 6"] {
    set title (column eq "4" ? "good answers a second" : "worst account, served over fair share")
    set xrange [-0.6:5.6]
    set xtics ()
    array low[6]
    array mid[6]
    array high[6]
    do for [i=1:6] {
      p = word(policies, i)
      stats sprintf("< awk -F, '$1==\"%s\" && $2==\"%s\"' %s", s, p, csv) using int(column) nooutput
      low[i] = STATS_min
      mid[i] = STATS_median
      high[i] = STATS_max
      set xtics add (p i-1)
    }
    plot sample [i=1:6:1] '+' using (i-1):(mid[int(i)]) with boxes lc rgb "#4477aa", \
         [i=1:6:1] '+' using (i-1):(mid[int(i)]):(low[int(i)]):(high[int(i)]) \
           with yerrorbars lc rgb "black" pt 7 ps 0.4
  }
  unset multiplot
}
